import type { BackendServer } from "@marigoldstall/core.types";

/** Creates a backend server of the fleet model. */
export const createModelServer = (instanceId: string, zone: number): BackendServer => ({
    instanceId,
    startedAtUnixMs: 1,
    service: "one",
    address: `${instanceId}:80`,
    availabilityZone: `zone-${zone}`,
    slots: 2,
    isDraining: false,
    warmUpMs: 0,
});
