import type { BackendSettings } from "@marigoldstall-private/backend-server";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { ManagedProcess } from "./managed-process.js";
import type { SiteBackendServer } from "./site-backend-server.js";
import type { SiteOptions } from "./site-options.js";

const DEFAULT_HOST_PROCESSES = 4;
/** Difference between the seeds of two backend servers, which gives each server its own random sequence. */
const SEED_STEP = 7919;

/** `import.meta.resolve` is not available under the loader of the tests. */
const require = createRequire(import.meta.url);

const resolveMain = (name: "log" | "vm-list" | "backend-server"): string =>
    join(dirname(require.resolve(`@marigoldstall-private/${name}`)), "main.js");

interface HostAddresses {
    readonly control: string;
    readonly servers: readonly { readonly vmId: string; readonly service: string; readonly address: string; }[];
}

interface PlannedVm {
    readonly vmId: string;
    readonly address: string;
    readonly availabilityZone: string;
}

interface PlannedServer extends BackendSettings {
    readonly vmId: string;
    readonly service: string;
}

/** Processes of the stand-ins for the platform at a site. */
export class StandInProcesses {
    readonly logAddress: string;
    readonly vmListAddress: string;
    readonly backendServers: readonly SiteBackendServer[];
    readonly hostControls: readonly string[];
    private readonly processes: readonly ManagedProcess[];

    private constructor(opts: {
        readonly logAddress: string;
        readonly vmListAddress: string;
        readonly backendServers: readonly SiteBackendServer[];
        readonly hostControls: readonly string[];
        readonly processes: readonly ManagedProcess[];
    }) {
        this.logAddress = opts.logAddress;
        this.vmListAddress = opts.vmListAddress;
        this.backendServers = opts.backendServers;
        this.hostControls = opts.hostControls;
        this.processes = opts.processes;
    }

    static async start(
        opts: SiteOptions & {
            readonly directory: string;
            readonly entryVms: readonly PlannedVm[];
        },
    ): Promise<StandInProcesses> {
        const processes: ManagedProcess[] = [];
        const launch = (name: string, command: readonly string[]) => {
            const launched = new ManagedProcess({
                name,
                command: [process.execPath, ...command, "--until-stdin-ends"],
                logFile: join(opts.directory, `${name}.log`),
                readsFirstLine: true,
            });
            processes.push(launched);
            return launched.firstLine();
        };
        const zones = opts.layout.availabilityZones;
        const zoneByVmId = new Map<string, string>();
        const planned = opts.layout.services.flatMap(layout =>
            Array.from({ length: layout.backendServers }, (unused, index): PlannedServer => {
                const vmId = `${layout.service}-${index + 1}`;
                zoneByVmId.set(vmId, zones[index % zones.length] ?? "");
                return {
                    vmId,
                    service: layout.service,
                    serviceTime: opts.serviceTime ?? layout.serviceTime,
                    seed: (opts.seed ?? 1) + SEED_STEP * (zoneByVmId.size + 1),
                };
            })
        );
        const hostCount = opts.hostProcesses ?? DEFAULT_HOST_PROCESSES;
        try {
            const [log, ...hosts] = await Promise.all([
                launch("log", [resolveMain("log"), "--retention-ms", String(opts.logRetentionMs ?? 3_600_000)]),
                ...Array.from({ length: hostCount }, (unused, host) => {
                    const servers = planned.filter((server, index) => index % hostCount === host);
                    return launch(`host-${host + 1}`, [
                        resolveMain("backend-server"),
                        "--servers",
                        JSON.stringify(servers),
                    ]);
                }),
            ]) as [{ address: string; }, ...HostAddresses[]];
            const backendServers = hosts.flatMap(host =>
                host.servers.map(server => ({
                    ...server,
                    availabilityZone: zoneByVmId.get(server.vmId) ?? "",
                    controlUrl: `http://${host.control}/servers/${server.vmId}`,
                }))
            );
            const vms = [
                ...opts.entryVms.map(vm => ({ ...vm, role: "entry", state: "live" })),
                ...backendServers.map(({ vmId, service, address, availabilityZone }) => (
                    { vmId, role: service, address, availabilityZone, state: "live" }
                )),
            ];
            const vmList = await launch("vm-list", [resolveMain("vm-list"), "--vms", JSON.stringify(vms)]) as {
                readonly address: string;
            };
            return new StandInProcesses({
                logAddress: log.address,
                vmListAddress: vmList.address,
                backendServers,
                hostControls: hosts.map(host => host.control),
                processes,
            });
        }
        catch (error) {
            await Promise.all(processes.map(launched => launched.stop({ graceMs: 0 })));
            throw error;
        }
    }

    async stop(): Promise<void> {
        await Promise.all(this.processes.map(launched => launched.stop({ graceMs: 2000 })));
    }
}
