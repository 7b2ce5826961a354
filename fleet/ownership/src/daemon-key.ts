import type { DaemonId } from "@marigoldstall/core.types";

/** Returns the identity of one run of a daemon as a map key. */
export const daemonKey = (daemon: DaemonId): string => `${daemon.vmId}/${daemon.incarnation}`;
