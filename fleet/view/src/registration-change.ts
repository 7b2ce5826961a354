import type { BackendServer } from "@marigoldstall/core.types";

/** A change of one registration at an offset of its topic. */
export interface RegistrationChange {
    readonly offset: number;
    readonly instanceId: string;
    /** Absent when the registration was removed. */
    readonly server: BackendServer | undefined;
}
