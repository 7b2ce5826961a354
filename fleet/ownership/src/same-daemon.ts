import type { DaemonId } from "@marigoldstall/core.types";

/** Whether both are the same run of the same daemon. */
export const sameDaemon = (left: DaemonId | undefined, right: DaemonId | undefined): boolean =>
    left !== undefined && right !== undefined && left.vmId === right.vmId && left.incarnation === right.incarnation;
