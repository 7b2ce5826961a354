import type { DaemonId } from "@marigoldstall/core.types";

/** A live daemon. */
export interface Member {
    readonly daemon: DaemonId;
    /** Control address. */
    readonly address: string;
    readonly availabilityZone: string;
}
