/* Role forward: TCP links between processes. A test can cut each link.
 *
 * A cut link accepts connections but forwards no data. When it is restored,
 * its connections are closed, so that both sides reconnect. */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin.h"

#define CHUNK_BYTES 65536

/* Forwards connections to one listening address to its target address. */
struct Link {
    /* Index, as used by the fault `cut`. */
    unsigned number;
    struct sockaddr_in target;
    ev_io listener;
    struct SrList connections;
    bool cut;
};

/* One of the two sockets of a connection: to the client or to the target. */
struct Side {
    ev_io readable;
    struct Connection *connection;
    int fd;
};

struct Connection {
    struct SrList entry;
    struct Link *link;
    struct Side sides[2];
};

/* Stand-in process in which the role runs. */
static struct Standin *self;
static struct Link *links;
static unsigned link_count;

/* Parses "host:port"; returns false if it is malformed. */
static bool
parse_address(const char *text, struct sockaddr_in *address)
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
        ev_io_stop(self->loop, &connection->sides[i].readable);
        close(connection->sides[i].fd);
    }
    SrList_Remove(&connection->entry);
    free(connection);
}

static bool
write_all(int fd, const char *data, ssize_t size)
{
    while (size > 0) {
        ssize_t sent = send(fd, data, (size_t)size, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        size -= sent;
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
    int client = accept(watcher->fd, NULL, NULL);
    if (client < 0) {
        return;
    }
    int target = socket(AF_INET, SOCK_STREAM, 0);
    if (!link->cut && connect(target, (struct sockaddr *)&link->target,
                              sizeof(link->target)) != 0) {
        close(client);
        close(target);
        return;
    }
    struct Connection *connection = SrUtil_Calloc(1, sizeof(*connection));
    connection->link = link;
    SrList_Append(&link->connections, &connection->entry);
    int fds[] = {client, target};
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
    SR_LIST_EACH(entry, &link->connections)
    {
        struct Connection *connection =
            SR_CONTAINER(entry, struct Connection, entry);
        ev_io_stop(self->loop, &connection->sides[0].readable);
        ev_io_stop(self->loop, &connection->sides[1].readable);
    }
}

static void
restore_link(struct Link *link)
{
    link->cut = false;
    while (!SrList_IsEmpty(&link->connections)) {
        /* False positive: the analyzer takes the head of the list for the
         * connection that was just freed. */
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc) */
        close_connection(
            SR_CONTAINER(link->connections.next, struct Connection, entry));
    }
}

static void
on_fault(struct Standin *standin)
{
    for (unsigned i = 0; i < link_count; i++) {
        char entry[16];
        snprintf(entry, sizeof(entry), ",%u,", i);
        bool cut = strstr(standin->faults.cut, entry) != NULL;
        if (cut && !links[i].cut) {
            cut_link(&links[i]);
        }
        else if (!cut && links[i].cut) {
            restore_link(&links[i]);
        }
    }
}

/* Starts the link of a pair "listen=target". */
static void
open_link(struct Link *link, char *pair)
{
    struct sockaddr_in address;
    int enable = 1;
    char *equals = strchr(pair, '=');
    if (equals == NULL) {
        fprintf(stderr, "pairs: '%s' is not LISTEN=TARGET\n", pair);
        exit(64);
    }
    *equals = '\0';
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    if (!parse_address(pair, &address) ||
        !parse_address(equals + 1, &link->target) ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
        listen(fd, 64) != 0) {
        fprintf(stderr, "pairs: cannot listen on '%s'\n", pair);
        exit(3);
    }
    SrList_Init(&link->connections);
    ev_io_init(&link->listener, on_connect, fd, EV_READ);
    link->listener.data = link;
    ev_io_start(self->loop, &link->listener);
}

static void
handle(struct Standin *standin, struct SrHttpRequest *request, int port)
{
    (void)port;
    Standin_Respond(standin, request, 404, "", 0, NULL, NULL);
}

void
Forward_Start(struct Standin *standin)
{
    char *save = NULL;
    self = standin;
    standin->handle = handle;
    standin->on_fault = on_fault;
    for (char *pair = strtok_r(standin->pairs, ",", &save); pair != NULL;
         pair = strtok_r(NULL, ",", &save)) {
        links = SrUtil_Realloc(links, (link_count + 1) * sizeof(struct Link));
        memset(&links[link_count], 0, sizeof(struct Link));
        links[link_count].number = link_count;
        link_count++;
        /* The links are opened below, when the array is no longer reallocated;
         * until then listener.data holds the link's pair. */
        links[link_count - 1].listener.data = pair;
    }
    for (unsigned i = 0; i < link_count; i++) {
        open_link(&links[i], links[i].listener.data);
    }
}
