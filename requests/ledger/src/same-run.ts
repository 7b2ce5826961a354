import type { DaemonId } from "@marigoldstall/core.types";

/** Whether both are the same run of the same daemon. */
export const sameRun = (left: DaemonId, right: DaemonId): boolean =>
    left.vmId === right.vmId && left.incarnation === right.incarnation;
