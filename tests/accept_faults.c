/* Preloaded into the program by tests/test_accepting.py: lets `accept4` fail, wherever in the process it is called.
 *
 * ACCEPT_FAULTS is "ERRNO EVERY TIMES": of the connections that wait to be accepted, each EVERY-th meets one
 * failure with ERRNO before it is accepted, TIMES times in all. A failure takes nothing off the backlog, as in
 * Linux. ACCEPT_FAULTS_LOG names a file that gets one line for each failure.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

typedef int (*accept4_t)(int, struct sockaddr *, socklen_t *, int);

static accept4_t real;
static int error, every, times, seen;
static int record = -1;

__attribute__((constructor)) static void prepare(void)
{
    const char *plan = getenv("ACCEPT_FAULTS");
    const char *path = getenv("ACCEPT_FAULTS_LOG");
    real = (accept4_t)dlsym(RTLD_NEXT, "accept4");
    if (plan == NULL || sscanf(plan, "%d %d %d", &error, &every, &times) != 3)
        times = 0;
    if (path != NULL)
        record = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    struct pollfd waiting = {.fd = fd, .events = POLLIN};
    if (times > 0 && poll(&waiting, 1, 0) == 1 && ++seen % every == 0) {
        times--;
        if (record >= 0 && write(record, "failed\n", 7) != 7)
            abort();
        errno = error;
        return -1;
    }
    return real(fd, address, length, flags);
}
