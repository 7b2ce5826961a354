import type { EntrySettings } from "@marigoldstall/core.types";
import type { VmInfo } from "@marigoldstall/fleet.hubs";

/** How this VM describes itself to the others. */
export const toVmInfo = (settings: EntrySettings): VmInfo => ({
    vmId: settings.vmId,
    availabilityZone: settings.availabilityZone,
    host: settings.host,
    cores: settings.cores,
    linkMbps: settings.linkMbps,
});
