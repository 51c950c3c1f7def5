/**
 * DOC: network - stand-in for the network between availability zones
 *
 * Relays TCP connections on loopback.  Each relay leads to one address in one
 * zone, and the process at the other end of a connection is placed in a zone
 * by its id.  While a zone is cut off, connections across its border are
 * silent: nothing is relayed or reset, new ones are accepted but lead nowhere,
 * and what was sent arrives once the zone is connected again.  All functions
 * may be called from any thread; what is created lives until the process ends.
 */
#ifndef STANDIN_NETWORK_H
#define STANDIN_NETWORK_H

#include <stdbool.h>
#include <sys/types.h>

struct network_relay;

/**
 * network_add_relay() - Listens on an address that the kernel chooses.
 * @zone: Zone of the target; "" for one outside all zones.
 * @target: Address to connect to, or NULL to set it later.
 *
 * Return: The relay, or NULL if it can't listen.
 */
struct network_relay *network_add_relay (const char *zone, const char *target);

/** network_relay_address() - Returns the address that the relay listens on. */
const char *network_relay_address (const struct network_relay *relay);

/** network_find_relay() - Returns the relay with an address, or NULL. */
struct network_relay *network_find_relay (const char *address);

/** network_set_target() - Sets where the relay connects to. */
void network_set_target (struct network_relay *relay, const char *target);

/** network_place_process() - Sets the zone of a process. */
void network_place_process (pid_t pid, const char *zone);

/** network_cut_zone() - Cuts off a zone, or connects it again. */
void network_cut_zone (const char *zone, bool cut);

/** network_cut_relay() - Cuts off a target from all processes, or connects it
 * again. */
void network_cut_relay (struct network_relay *relay, bool cut);

#endif
