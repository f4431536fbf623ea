/* Preloaded into the program by tests/test_accepting.py: makes `accept4` fail, from wherever it is called.
 *
 * ACCEPT_FAULTS is "ERRNO EVERY TIMES": each EVERY-th call that finds a connection in the backlog fails with
 * ERRNO, TIMES times in all. As in Linux, a failure takes no connection off the backlog. ACCEPT_FAULTS_LOG names
 * a file that gets one line for each failure.
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

static accept4_t real_accept4;
static int error_number, every, times, calls;
static int log_fd = -1;

__attribute__((constructor)) static void init(void)
{
    const char *spec = getenv("ACCEPT_FAULTS");
    const char *path = getenv("ACCEPT_FAULTS_LOG");
    real_accept4 = (accept4_t)dlsym(RTLD_NEXT, "accept4");
    if (spec == NULL || sscanf(spec, "%d %d %d", &error_number, &every, &times) != 3)
        times = 0;
    if (path != NULL)
        log_fd = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    struct pollfd waiting = {.fd = fd, .events = POLLIN};
    if (times > 0 && poll(&waiting, 1, 0) == 1 && ++calls % every == 0) {
        times--;
        if (log_fd >= 0 && write(log_fd, "failed\n", 7) != 7)
            abort();
        errno = error_number;
        return -1;
    }
    return real_accept4(fd, address, length, flags);
}
