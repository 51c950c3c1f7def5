/*
 * call - makes one HTTP/1.1 call and prints the status and the body
 *
 * usage: call METHOD ADDRESS PATH [BODY [HEADER...]]
 *
 * Prints "000" if there is no complete answer within 5 s.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define ANSWER_MAX (1 << 20)

static int
give_up (void)
{
  printf ("000 ");
  return 1;
}

int
main (int argc, char **argv)
{
  static char answer[ANSWER_MAX];
  static char request[ANSWER_MAX];
  struct sockaddr_in to = { .sin_family = AF_INET };
  struct timeval limit = { 5, 0 };
  const char *body = argc > 4 ? argv[4] : "";
  size_t length = 0;
  size_t sent = 0;
  ssize_t count;
  char host[64];
  char *colon;
  char *rest;
  int used;
  int fd;

  if (argc < 4 || strlen (argv[2]) >= sizeof host
      || strlen (body) > ANSWER_MAX / 2)
    return 2;
  strcpy (host, argv[2]);
  colon = strrchr (host, ':');
  if (colon == NULL)
    return 2;
  *colon = '\0';
  to.sin_port = htons ((unsigned short)atoi (colon + 1));
  inet_pton (AF_INET, host, &to.sin_addr);
  used = snprintf (request, sizeof request,
                   "%s %s HTTP/1.1\r\nConnection: close\r\n"
                   "Content-Type: application/json\r\nContent-Length: %zu\r\n",
                   argv[1], argv[3], strlen (body));
  for (int i = 5; i < argc; i++)
    used += snprintf (request + used, sizeof request - (size_t)used, "%s\r\n",
                      argv[i]);
  if (argc <= 5)
    used += snprintf (request + used, sizeof request - (size_t)used,
                      "Host: %s\r\n", argv[2]);
  used += snprintf (request + used, sizeof request - (size_t)used, "\r\n%s",
                    body);
  fd = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&to, sizeof to) != 0)
    return give_up ();
  while (sent < (size_t)used)
    {
      count = send (fd, request + sent, (size_t)used - sent, MSG_NOSIGNAL);
      if (count <= 0)
        return give_up ();
      sent += (size_t)count;
    }
  while (length < sizeof answer - 1
         && (count = recv (fd, answer + length, sizeof answer - 1 - length, 0))
                > 0)
    length += (size_t)count;
  answer[length] = '\0';
  rest = strstr (answer, "\r\n\r\n");
  if (strncmp (answer, "HTTP/1.1 ", 9) != 0 || rest == NULL)
    return give_up ();
  printf ("%.3s %s", answer + 9, rest + 4);
  return 0;
}
