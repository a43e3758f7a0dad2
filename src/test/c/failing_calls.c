/*
 * An LD_PRELOAD library that makes system calls fail in documented ways. A test maps the file named by FAILING_CALLS and sets a
 * rule for each kind of call: which error to return, on every how many calls, and how many more times.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/uio.h>
#include <unistd.h>

enum kind { ACCEPT, SOCKET, CONNECT, READ, WRITE, EPOLL_WAIT, FILE_OPEN, FILE_WRITE, FILE_SYNC, FILE_RENAME, EPOLL_CREATE, EVENTFD, PIPE, KINDS };

/* error: errno, or SHORT to transfer only one byte; every: fail every nth call; left: failures to come, negative for unlimited. */
struct rule { int error; int every; int left; int calls; int failed; };
#define SHORT (-1)

static struct rule *rules;

__attribute__((constructor)) static void map_rules(void) {
    const char *path = getenv("FAILING_CALLS");
    int fd = path == NULL ? -1 : open(path, O_RDWR);
    if (fd < 0) {
        return;
    }
    void *at = mmap(NULL, KINDS * sizeof(struct rule), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    rules = at == MAP_FAILED ? NULL : at;
    close(fd);
}

/* Counts a call; returns 0, an errno, or SHORT. */
static int fault(enum kind kind) {
    if (rules == NULL || rules[kind].every == 0 || rules[kind].left == 0) {
        return 0;
    }
    struct rule *rule = &rules[kind];
    if (__atomic_add_fetch(&rule->calls, 1, __ATOMIC_SEQ_CST) % rule->every != 0) {
        return 0;
    }
    if (rule->left > 0) {
        __atomic_sub_fetch(&rule->left, 1, __ATOMIC_SEQ_CST);
    }
    __atomic_add_fetch(&rule->failed, 1, __ATOMIC_SEQ_CST);
    return rule->error;
}

#define REAL(name) ((__typeof__(&name)) dlsym(RTLD_NEXT, #name))
#define FAIL(kind) do { int e = fault(kind); if (e > 0) { errno = e; return -1; } } while (0)

/* The kind of call by the type of the descriptor, a socket or a regular file; KINDS for any other. The standard streams are left out. */
static enum kind by_descriptor(int fd, enum kind of_socket, enum kind of_file) {
    struct stat told;
    if (rules == NULL || fstat(fd, &told) != 0) {
        return KINDS;
    }
    return S_ISSOCK(told.st_mode) ? of_socket : S_ISREG(told.st_mode) && fd > 2 ? of_file : KINDS;
}

int accept(int fd, struct sockaddr *from, socklen_t *length) {
    FAIL(ACCEPT);
    return REAL(accept)(fd, from, length);
}

int accept4(int fd, struct sockaddr *from, socklen_t *length, int flags) {
    FAIL(ACCEPT);
    return REAL(accept4)(fd, from, length, flags);
}

int socket(int domain, int type, int protocol) {
    if (domain != AF_UNIX) {
        FAIL(SOCKET);
    }
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
    FAIL(CONNECT);
    return REAL(connect)(fd, to, length);
}

ssize_t read(int fd, void *into, size_t count) {
    enum kind kind = by_descriptor(fd, READ, KINDS);
    int e = kind == READ && count > 1 ? fault(READ) : 0;
    if (e > 0) {
        errno = e;
        return -1;
    }
    return REAL(read)(fd, into, e == SHORT ? 1 : count);
}

ssize_t write(int fd, const void *from, size_t count) {
    enum kind kind = by_descriptor(fd, WRITE, FILE_WRITE);
    int e = kind != KINDS && count > 1 ? fault(kind) : 0;
    if (e > 0) {
        errno = e;
        return -1;
    }
    return REAL(write)(fd, from, e == SHORT ? 1 : count);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    enum kind kind = by_descriptor(fd, WRITE, FILE_WRITE);
    int e = kind != KINDS ? fault(kind) : 0;
    if (e > 0) {
        errno = e;
        return -1;
    }
    return REAL(writev)(fd, parts, e == SHORT ? 1 : count);
}

int epoll_create1(int flags) {
    FAIL(EPOLL_CREATE);
    return REAL(epoll_create1)(flags);
}

int epoll_create(int size) {
    FAIL(EPOLL_CREATE);
    return REAL(epoll_create)(size);
}

int eventfd(unsigned int value, int flags) {
    FAIL(EVENTFD);
    return REAL(eventfd)(value, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    FAIL(EPOLL_WAIT);
    return REAL(epoll_wait)(fd, events, most, timeout);
}

static int is_kept(const char *path) {
    return strstr(path, "dappleseam-seats") != NULL && (strstr(path, "-list") != NULL || strstr(path, "-learnt") != NULL);
}

int open64(const char *path, int flags, ...) {
    va_list rest;
    va_start(rest, flags);
    mode_t mode = va_arg(rest, mode_t);
    va_end(rest);
    if (is_kept(path)) {
        FAIL(FILE_OPEN);
    }
    return REAL(open64)(path, flags, mode);
}

int fsync(int fd) {
    FAIL(FILE_SYNC);
    return REAL(fsync)(fd);
}

int fdatasync(int fd) {
    FAIL(FILE_SYNC);
    return REAL(fdatasync)(fd);
}

int rename(const char *from, const char *to) {
    if (is_kept(to)) {
        FAIL(FILE_RENAME);
    }
    return REAL(rename)(from, to);
}

int pipe(int ends[2]) {
    FAIL(PIPE);
    return REAL(pipe)(ends);
}

int pipe2(int ends[2], int flags) {
    FAIL(PIPE);
    return REAL(pipe2)(ends, flags);
}
