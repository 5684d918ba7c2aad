/* Makes system calls of one process fail, come short or come late, as the test that loaded it (LD_PRELOAD) says.

   SALTPORT_FAULTS names a file of `struct fault` rows, one for each entry of `calls`, and one more for the
   clocks. The file is mapped by both sides, so faults begin and end at any moment of the run. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

struct fault {
    int64_t error;   /* errno that a call fails with; 0: it does not fail */
    int64_t left;    /* so many calls are still to be struck; below 0: all */
    int64_t struck;  /* how many were */
    int64_t late_ns; /* a struck call waits for so long first */
    int64_t most;    /* a struck read or write moves so many bytes at most; 0: no bound */
    int64_t step_ns; /* of the clocks' row: what the wall clock shows beyond the true time */
};

enum { ACCEPT, SOCKET, BIND, CONNECT, POLL, READ, WRITE, GETSOCKOPT, SHUTDOWN, FSYNC, CLOCK, CALLS };

static struct fault *faults;

__attribute__((constructor)) static void map_faults(void) {
    const char *name = getenv("SALTPORT_FAULTS");
    int file = name ? open(name, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *mapped = mmap(NULL, CALLS * sizeof(struct fault), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED) faults = mapped;
    close(file);
}

static struct fault *strike(int call) {
    struct fault *fault = faults ? &faults[call] : NULL;
    if (!fault || !fault->left) return NULL;
    if (fault->left > 0) fault->left--;
    fault->struck++;
    if (fault->late_ns) {
        struct timespec pause = {fault->late_ns / 1000000000, fault->late_ns % 1000000000};
        nanosleep(&pause, NULL);
    }
    return fault;
}

static int is_tcp(int descriptor) {
    int kind = 0, family = 0;
    socklen_t size = sizeof kind, family_size = sizeof family;
    static int (*next)(int, int, int, void *, socklen_t *);
    if (!next) *(void **)&next = dlsym(RTLD_NEXT, "getsockopt");
    if (next(descriptor, SOL_SOCKET, SO_TYPE, &kind, &size)) return 0;
    next(descriptor, SOL_SOCKET, SO_DOMAIN, &family, &family_size);
    return kind == SOCK_STREAM && family == AF_INET;
}

#define NEXT(name) if (!next) *(void **)&next = dlsym(RTLD_NEXT, #name)
#define WRAP(call, result, name, parameters, arguments)                          \
    result name parameters {                                                     \
        static result (*next) parameters;                                        \
        NEXT(name);                                                              \
        struct fault *fault = strike(call);                                      \
        if (fault && fault->error) { errno = (int)fault->error; return -1; }     \
        return next arguments;                                                   \
    }
#define WRAP_MOVED(call, name, parameters, arguments)                            \
    ssize_t name parameters {                                                    \
        static ssize_t (*next) parameters;                                       \
        NEXT(name);                                                              \
        struct fault *fault = faults && faults[call].left && is_tcp(end) ? strike(call) : NULL; \
        if (fault && fault->error) { errno = (int)fault->error; return -1; }     \
        if (fault && fault->most && size > (size_t)fault->most) size = (size_t)fault->most; \
        return next arguments;                                                   \
    }

WRAP(ACCEPT, int, accept4, (int end, struct sockaddr *from, socklen_t *size, int flags), (end, from, size, flags))
WRAP(ACCEPT, int, accept, (int end, struct sockaddr *from, socklen_t *size), (end, from, size))
WRAP(SOCKET, int, socket, (int family, int kind, int protocol), (family, kind, protocol))
WRAP(BIND, int, bind, (int end, const struct sockaddr *to, socklen_t size), (end, to, size))
WRAP(CONNECT, int, connect, (int end, const struct sockaddr *to, socklen_t size), (end, to, size))
WRAP(POLL, int, epoll_wait, (int end, struct epoll_event *events, int most, int wait), (end, events, most, wait))
WRAP(POLL, int, epoll_pwait, (int end, struct epoll_event *events, int most, int wait, const sigset_t *mask),
     (end, events, most, wait, mask))
WRAP(POLL, int, poll, (struct pollfd *ends, nfds_t count, int wait), (ends, count, wait))
WRAP(GETSOCKOPT, int, getsockopt, (int end, int level, int name, void *value, socklen_t *size),
     (end, level, name, value, size))
WRAP(SHUTDOWN, int, shutdown, (int end, int how), (end, how))
WRAP(FSYNC, int, fsync, (int end), (end))
WRAP_MOVED(READ, read, (int end, void *data, size_t size), (end, data, size))
WRAP_MOVED(READ, recv, (int end, void *data, size_t size, int flags), (end, data, size, flags))
WRAP_MOVED(WRITE, write, (int end, const void *data, size_t size), (end, data, size))
WRAP_MOVED(WRITE, send, (int end, const void *data, size_t size, int flags), (end, data, size, flags))

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*next)(clockid_t, struct timespec *);
    NEXT(clock_gettime);
    int result = next(clock, now);
    if (!result && faults && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        now->tv_sec += faults[CLOCK].step_ns / 1000000000;
    return result;
}

time_t time(time_t *told) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (told) *told = now.tv_sec;
    return now.tv_sec;
}
