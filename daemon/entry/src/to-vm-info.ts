import type { EntrySettings } from "@marigoldstall/core.types";
import type { VmInfo } from "@marigoldstall/fleet.hubs";

/** Extracts the description of this VM that the other VMs receive. */
export const toVmInfo = (settings: EntrySettings): VmInfo => ({
    vmId: settings.vmId,
    availabilityZone: settings.availabilityZone,
    host: settings.host,
    cores: settings.cores,
    linkMbps: settings.linkMbps,
});
