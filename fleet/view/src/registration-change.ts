import type { BackendServer } from "@marigoldstall/core.types";

/** A change of a registration, with its offset in the topic. The event or message that contains it tells the era. */
export interface RegistrationChange {
    readonly offset: number;
    readonly instanceId: string;
    /** Undefined if the registration was removed. */
    readonly server: BackendServer | undefined;
}
