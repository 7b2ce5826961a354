import type { DaemonId } from "@marigoldstall/core.types";

/** Whether both identify the same run of the same daemon. */
export const isSameDaemon = (left: DaemonId, right: DaemonId): boolean =>
    left.vmId === right.vmId && left.incarnation === right.incarnation;
