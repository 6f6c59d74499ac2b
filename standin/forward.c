/* Role forward: links between processes that a test can cut.
 *
 * A cut link takes connections and carries nothing; when it is mended, its
 * connections are closed, so that both sides begin anew. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define CHUNK_BYTES 65536

struct Link {
    unsigned number;
    struct sockaddr_in target;
    ev_io listener;
    struct SrList connections;
    bool cut;
};

struct Side {
    ev_io readable;
    struct Connection *connection;
    int fd;
};

struct Connection {
    struct SrList list;
    struct Link *link;
    struct Side sides[2];
};

static struct Standin *shared;
static struct Link *links;
static unsigned link_count;

static bool
parse(const char *text, struct sockaddr_in *address)
{
    char host[64];
    const char *colon = strrchr(text, ':');
    if (colon == NULL || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    memset(address, 0, sizeof(*address));
    address->sin_family = AF_INET;
    address->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return inet_pton(AF_INET, host, &address->sin_addr) == 1;
}

static void
close_connection(struct Connection *connection)
{
    for (int i = 0; i < 2; i++) {
        ev_io_stop(shared->loop, &connection->sides[i].readable);
        close(connection->sides[i].fd);
    }
    SrList_Remove(&connection->list);
    free(connection);
}

static bool
write_all(int fd, const char *data, ssize_t size)
{
    while (size > 0) {
        ssize_t written = send(fd, data, (size_t)size, MSG_NOSIGNAL);
        if (written <= 0) {
            return false;
        }
        data += written;
        size -= written;
    }
    return true;
}

static void
on_data(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)loop;
    (void)events;
    static char data[CHUNK_BYTES];
    struct Side *side = watcher->data;
    struct Connection *connection = side->connection;
    struct Side *other = &connection->sides[side == connection->sides];
    ssize_t size = recv(side->fd, data, sizeof(data), 0);
    if (size <= 0 || !write_all(other->fd, data, size)) {
        close_connection(connection);
    }
}

static void
on_connect(struct ev_loop *loop, ev_io *watcher, int events)
{
    (void)events;
    struct Link *link = watcher->data;
    int near = accept(watcher->fd, NULL, NULL);
    if (near < 0) {
        return;
    }
    int far = socket(AF_INET, SOCK_STREAM, 0);
    if (!link->cut && connect(far, (struct sockaddr *)&link->target,
                              sizeof(link->target)) != 0) {
        close(near);
        close(far);
        return;
    }
    struct Connection *connection = SrUtil_Calloc(1, sizeof(*connection));
    connection->link = link;
    SrList_Append(&link->connections, &connection->list);
    int fds[] = {near, far};
    for (int i = 0; i < 2; i++) {
        struct Side *side = &connection->sides[i];
        side->fd = fds[i];
        side->connection = connection;
        ev_io_init(&side->readable, on_data, side->fd, EV_READ);
        side->readable.data = side;
        if (!link->cut) {
            ev_io_start(loop, &side->readable);
        }
    }
}

static void
cut_link(struct Link *link)
{
    link->cut = true;
    SR_LIST_EACH(list, &link->connections)
    {
        struct Connection *connection =
            SR_CONTAINER(list, struct Connection, list);
        ev_io_stop(shared->loop, &connection->sides[0].readable);
        ev_io_stop(shared->loop, &connection->sides[1].readable);
    }
}

static void
mend_link(struct Link *link)
{
    link->cut = false;
    while (!SrList_IsEmpty(&link->connections)) {
        /* The analyser takes the list's head for the link just freed. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        close_connection(
            SR_CONTAINER(link->connections.next, struct Connection, list));
    }
}

static void
on_fault(struct Standin *standin)
{
    for (unsigned i = 0; i < link_count; i++) {
        char name[16];
        snprintf(name, sizeof(name), ",%u,", i);
        bool cut = strstr(standin->faults.cut, name) != NULL;
        if (cut && !links[i].cut) {
            cut_link(&links[i]);
        }
        else if (!cut && links[i].cut) {
            mend_link(&links[i]);
        }
    }
}

static void
open_link(struct Link *link, char *pair)
{
    struct sockaddr_in address;
    int yes = 1;
    char *equals = strchr(pair, '=');
    if (equals == NULL) {
        fprintf(stderr, "pairs: '%s' is not LISTEN=TARGET\n", pair);
        exit(64);
    }
    *equals = '\0';
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (!parse(pair, &address) || !parse(equals + 1, &link->target) ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 64) != 0) {
        fprintf(stderr, "pairs: cannot listen on '%s'\n", pair);
        exit(3);
    }
    SrList_Init(&link->connections);
    ev_io_init(&link->listener, on_connect, fd, EV_READ);
    link->listener.data = link;
    ev_io_start(shared->loop, &link->listener);
}

static void
handle(struct Standin *standin, struct SrHttpRequest *request, int port)
{
    (void)port;
    Standin_ReplyRaw(standin, request, 404, "", 0, NULL, NULL);
}

void
Forward_Start(struct Standin *standin)
{
    char *save = NULL;
    shared = standin;
    standin->handle = handle;
    standin->on_fault = on_fault;
    for (char *pair = strtok_r(standin->pairs, ",", &save); pair != NULL;
         pair = strtok_r(NULL, ",", &save)) {
        links = SrUtil_Realloc(links, (link_count + 1) * sizeof(struct Link));
        memset(&links[link_count], 0, sizeof(struct Link));
        links[link_count].number = link_count;
        link_count++;
        /* Opened below, once the array does not move any more. */
        links[link_count - 1].listener.data = pair;
    }
    for (unsigned i = 0; i < link_count; i++) {
        open_link(&links[i], links[i].listener.data);
    }
}
