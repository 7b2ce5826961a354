import type { VmInfo } from "@marigoldstall/fleet.hubs";

/** Extracts the description of a VM that the other VMs receive, as from the settings of this VM. */
export const toVmInfo = (vm: VmInfo): VmInfo => ({
    vmId: vm.vmId,
    availabilityZone: vm.availabilityZone,
    host: vm.host,
    cores: vm.cores,
    linkMbps: vm.linkMbps,
});
