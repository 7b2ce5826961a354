import { fetchStatus } from "@marigoldstall-private/platform";
import type { ManagedProcess } from "@marigoldstall-private/sites";
import type { SoakSite } from "./soak-site.js";

// A VM that starts may use an older configuration for some hundred milliseconds, until it hears of the newest one.
const INTERVAL_MS = 100;
const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;

/** Asks all VMs at short intervals for the route of the newest configuration, which no older one has. */
export class ConfigurationWatch {
    /** One entry for each VM and version. */
    readonly violations = new Set<string>();
    private readonly site: SoakSite;
    private readonly readyProcesses = new WeakSet<ManagedProcess>();
    private timer: NodeJS.Timeout | undefined;

    constructor(site: SoakSite) {
        this.site = site;
    }

    start(): void {
        this.timer = setInterval(() => {
            for (const vmId of this.site.vmIds) {
                const vmProcess = this.site.process(vmId);
                if (vmProcess?.running === true) {
                    void this.check(vmId, vmProcess);
                }
            }
        }, INTERVAL_MS);
    }

    stop(): void {
        clearInterval(this.timer);
    }

    private async check(vmId: string, vmProcess: ManagedProcess): Promise<void> {
        const { site } = this;
        // A VM without a configuration answers 503, like the route of the newest one, which has no servers.
        if (!this.readyProcesses.has(vmProcess)) {
            if (await site.fetchReadiness(vmId) !== STATUS_OK || site.process(vmId) !== vmProcess) {
                return;
            }
            this.readyProcesses.add(vmProcess);
        }
        const { newestVersion } = site;
        const isRequired = site.mustKnow(vmId, `version ${newestVersion}`);
        const path = `/version-${newestVersion}/1`;
        const status = await fetchStatus(site.addressOf(vmId), { path, host: site.publicHost });
        const isOutdated = site.newestVersion !== newestVersion || site.process(vmId) !== vmProcess;
        if (isRequired && !isOutdated && status === STATUS_NOT_FOUND) {
            this.violations.add(`${vmId} uses a configuration older than version ${newestVersion}`);
        }
    }
}
