import type { DaemonId } from "@marigoldstall/core.types";

/** A live daemon that may own or guard shares. */
export interface OwnershipMember {
    readonly daemon: DaemonId;
    readonly address: string;
    readonly availabilityZone: string;
}
