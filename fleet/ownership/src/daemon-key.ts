import type { DaemonId } from "@marigoldstall/core.types";

/** Identity of a daemon's run as a map key. */
export const daemonKey = (daemon: DaemonId): string => `${daemon.vmId}/${daemon.incarnation}`;
