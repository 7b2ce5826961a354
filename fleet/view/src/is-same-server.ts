import type { BackendServer } from "@marigoldstall/core.types";

/** Whether two registrations are equal, ignoring the remaining warm-up time, which changes with every heartbeat. */
export const isSameServer = (a: BackendServer, b: BackendServer): boolean =>
    a.startedAtUnixMs === b.startedAtUnixMs && a.service === b.service && a.address === b.address
    && a.availabilityZone === b.availabilityZone && a.slots === b.slots && a.isDraining === b.isDraining;
