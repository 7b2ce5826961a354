import type { BackendServer } from "@marigoldstall/core.types";

/** A change of a registration, with its offset in the topic. */
export interface RegistrationChange {
    readonly offset: number;
    readonly instanceId: string;
    /** Undefined if the registration was removed. */
    readonly server: BackendServer | undefined;
}
