/* Fault injection for the system calls of one process (LD_PRELOAD): calls fail, are shortened or are delayed.

   SALTPORT_FAULTS names a file of `struct fault` rows, one for each call of the enum below; the CLOCK row is
   for the wall clock. The test and this process map the file, so a test can start and stop faults at any time.
   io_uring is always refused, as the platform refuses it: libuv would make its epoll_ctl calls through io_uring,
   where this library does not see them. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
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
    int64_t error;     /* errno for the call; 0: the call does not fail */
    int64_t remaining; /* number of calls still to be affected; below 0: all */
    int64_t injected;  /* number of calls affected so far */
    int64_t delay_ns;  /* delay before an affected call */
    int64_t max_bytes; /* most bytes that an affected read or write transfers; 0: no limit */
    int64_t step_ns;   /* CLOCK row only: offset of the wall clock from the true time */
};

enum {
    ACCEPT, SOCKET, BIND, CONNECT, POLL, READ, WRITE, GETSOCKOPT, SHUTDOWN, FSYNC, CLOCK,
    EPOLL_CTL, EPOLL_CREATE, SETSOCKOPT, GETSOCKNAME, GETPEERNAME, LISTEN, DUP, FCNTL, OPEN, SENDMSG, RECVMSG,
    CALLS
};
enum { IO_URING_FIRST = 425, IO_URING_LAST = 427 };

static struct fault *faults;

__attribute__((constructor)) static void map_faults(void) {
    const char *name = getenv("SALTPORT_FAULTS");
    int file = name ? open(name, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0) return;
    void *mapped = mmap(NULL, CALLS * sizeof(struct fault), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED) faults = mapped;
    close(file);
}

static struct fault *next_fault(int call) {
    struct fault *fault = faults ? &faults[call] : NULL;
    if (!fault || !fault->remaining) return NULL;
    if (fault->remaining > 0) fault->remaining--;
    fault->injected++;
    if (fault->delay_ns) {
        struct timespec pause = {fault->delay_ns / 1000000000, fault->delay_ns % 1000000000};
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
        struct fault *fault = next_fault(call);                                  \
        if (fault && fault->error) { errno = (int)fault->error; return -1; }     \
        return next arguments;                                                   \
    }
#define WRAP_MOVED(call, name, parameters, arguments)                            \
    ssize_t name parameters {                                                    \
        static ssize_t (*next) parameters;                                       \
        NEXT(name);                                                              \
        struct fault *fault = faults && faults[call].remaining && is_tcp(fd) ? next_fault(call) : NULL; \
        if (fault && fault->error) { errno = (int)fault->error; return -1; }     \
        if (fault && fault->max_bytes && size > (size_t)fault->max_bytes) size = (size_t)fault->max_bytes; \
        return next arguments;                                                   \
    }

WRAP(ACCEPT, int, accept4, (int fd, struct sockaddr *from, socklen_t *size, int flags), (fd, from, size, flags))
WRAP(ACCEPT, int, accept, (int fd, struct sockaddr *from, socklen_t *size), (fd, from, size))
WRAP(SOCKET, int, socket, (int family, int kind, int protocol), (family, kind, protocol))
WRAP(BIND, int, bind, (int fd, const struct sockaddr *to, socklen_t size), (fd, to, size))
WRAP(CONNECT, int, connect, (int fd, const struct sockaddr *to, socklen_t size), (fd, to, size))
/* epoll_wait(2) does not document poll(2)'s ENOMEM, so only EINTR is injected. */
#define WRAP_WAIT(name, parameters, arguments)                                   \
    int name parameters {                                                        \
        static int (*next) parameters;                                           \
        NEXT(name);                                                              \
        struct fault *fault = faults && faults[POLL].error == EINTR ? next_fault(POLL) : NULL; \
        if (fault) { errno = EINTR; return -1; }                                 \
        return next arguments;                                                   \
    }
WRAP_WAIT(epoll_wait, (int fd, struct epoll_event *events, int max_events, int timeout),
          (fd, events, max_events, timeout))
WRAP_WAIT(epoll_pwait, (int fd, struct epoll_event *events, int max_events, int timeout, const sigset_t *mask),
          (fd, events, max_events, timeout, mask))
WRAP(POLL, int, poll, (struct pollfd *fds, nfds_t count, int timeout), (fds, count, timeout))
WRAP(GETSOCKOPT, int, getsockopt, (int fd, int level, int name, void *value, socklen_t *size),
     (fd, level, name, value, size))
WRAP(SHUTDOWN, int, shutdown, (int fd, int how), (fd, how))
WRAP(FSYNC, int, fsync, (int fd), (fd))
WRAP(EPOLL_CTL, int, epoll_ctl, (int epoll, int operation, int fd, struct epoll_event *event),
     (epoll, operation, fd, event))
WRAP(EPOLL_CREATE, int, epoll_create1, (int flags), (flags))
WRAP(SETSOCKOPT, int, setsockopt, (int fd, int level, int name, const void *value, socklen_t size),
     (fd, level, name, value, size))
WRAP(GETSOCKNAME, int, getsockname, (int fd, struct sockaddr *at, socklen_t *size), (fd, at, size))
WRAP(GETPEERNAME, int, getpeername, (int fd, struct sockaddr *at, socklen_t *size), (fd, at, size))
WRAP(LISTEN, int, listen, (int fd, int backlog), (fd, backlog))
WRAP(DUP, int, dup, (int fd), (fd))
WRAP_MOVED(READ, read, (int fd, void *data, size_t size), (fd, data, size))
WRAP_MOVED(READ, recv, (int fd, void *data, size_t size, int flags), (fd, data, size, flags))
WRAP_MOVED(WRITE, write, (int fd, const void *data, size_t size), (fd, data, size))
WRAP_MOVED(WRITE, send, (int fd, const void *data, size_t size, int flags), (fd, data, size, flags))

/* Calls with several buffers: on TCP an affected call transfers only the first one, or fails; on other sockets
   the faults of the message calls apply. */
#define WRAP_PARTS(call, message_call, name, parameters, arguments, parts)       \
    ssize_t name parameters {                                                    \
        static ssize_t (*next) parameters;                                       \
        NEXT(name);                                                              \
        int tcp = faults && (faults[call].remaining || faults[message_call].remaining) && is_tcp(fd); \
        struct fault *fault = !faults ? NULL : tcp ? next_fault(call) : next_fault(message_call); \
        if (fault && fault->error) { errno = (int)fault->error; return -1; }     \
        if (fault && fault->max_bytes && parts > 1) parts = 1;                   \
        return next arguments;                                                   \
    }

static ssize_t message_parts;
WRAP_PARTS(WRITE, SENDMSG, writev, (int fd, const struct iovec *data, int count), (fd, data, count), count)
WRAP_PARTS(WRITE, SENDMSG, sendmsg, (int fd, const struct msghdr *message, int flags), (fd, message, flags),
           message_parts)
WRAP_PARTS(READ, RECVMSG, recvmsg, (int fd, struct msghdr *message, int flags), (fd, message, flags),
           message_parts)

#define WRAP_OPEN(name)                                                          \
    int name(const char *path, int flags, ...) {                                 \
        static int (*next)(const char *, int, ...);                              \
        NEXT(name);                                                              \
        va_list more;                                                            \
        va_start(more, flags);                                                   \
        mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(more, mode_t) : 0;  \
        va_end(more);                                                            \
        struct fault *fault = next_fault(OPEN);                                  \
        if (fault && fault->error) { errno = (int)fault->error; return -1; }     \
        return next(path, flags, mode);                                          \
    }
WRAP_OPEN(open)
WRAP_OPEN(open64)

#define WRAP_FCNTL(name)                                                         \
    int name(int fd, int command, ...) {                                         \
        static int (*next)(int, int, ...);                                       \
        NEXT(name);                                                              \
        va_list more;                                                            \
        va_start(more, command);                                                 \
        void *argument = va_arg(more, void *);                                   \
        va_end(more);                                                            \
        struct fault *fault = next_fault(command == F_DUPFD_CLOEXEC || command == F_DUPFD ? DUP : FCNTL); \
        if (fault && fault->error) { errno = (int)fault->error; return -1; }     \
        return next(fd, command, argument);                                      \
    }
WRAP_FCNTL(fcntl)
WRAP_FCNTL(fcntl64)

long syscall(long number, ...) {
    static long (*next)(long, ...);
    NEXT(syscall);
    if (number >= IO_URING_FIRST && number <= IO_URING_LAST) { errno = ENOSYS; return -1; }
    long words[6];
    va_list more;
    va_start(more, number);
    for (int word = 0; word < 6; word++) words[word] = va_arg(more, long);
    va_end(more);
    return next(number, words[0], words[1], words[2], words[3], words[4], words[5]);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static int (*next)(clockid_t, struct timespec *);
    NEXT(clock_gettime);
    int result = next(clock, now);
    if (!result && faults && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE))
        now->tv_sec += faults[CLOCK].step_ns / 1000000000;
    return result;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result) *result = now.tv_sec;
    return now.tv_sec;
}
