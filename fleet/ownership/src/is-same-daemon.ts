import type { DaemonId } from "@marigoldstall/core.types";

/** Whether both identify the same run of the same daemon; false if either is undefined. */
export const isSameDaemon = (left: DaemonId | undefined, right: DaemonId | undefined): boolean =>
    left !== undefined && right !== undefined && left.vmId === right.vmId && left.incarnation === right.incarnation;
