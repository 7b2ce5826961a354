import { LogStandIn } from "@marigoldstall-private/log";
import { VmListStandIn } from "@marigoldstall-private/vm-list";
import { RpcServer } from "@marigoldstall/fleet.rpc";
import { HttpLogClient } from "@marigoldstall/platform.log-client";
import { HttpVmListClient } from "@marigoldstall/platform.vm-list-client";
import { RpcDaemonClient, runTool } from "@marigoldstall/tool.cli";
import type { DaemonStatus, LoggedDecision } from "@marigoldstall/tool.cli";
import { setTimeout as delay } from "node:timers/promises";

const CONTROL_KEY = "0123456789abcdef0123456789abcdef";

interface ToolResult {
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}

/** Runs the tool against stand-ins of the platform and against RPC servers with configurable daemon responses. */
export class ToolFixture {
    readonly files = new Map<string, string>();
    readonly statuses = new Map<string, Partial<DaemonStatus>>();
    readonly decisions = new Map<string, readonly LoggedDecision[]>();
    readonly configurations = new Map<string, unknown>();
    private readonly servers: RpcServer[] = [];
    private nextId = 1;

    private constructor(readonly log: LogStandIn, readonly vmList: VmListStandIn) {
        this.writeSettings("Ana Novak");
    }

    static async start(): Promise<ToolFixture> {
        const fixture = new ToolFixture(await LogStandIn.start(), await VmListStandIn.start());
        for (const vmId of ["entry-1", "entry-2"]) {
            const server = new RpcServer({
                key: CONTROL_KEY,
                methods: {
                    "status.get": () => fixture.status(vmId),
                    "explain.get": () => ({ decisions: fixture.decisions.get(vmId) ?? [] }),
                    "configuration.fetch": () => ({ configuration: fixture.configurations.get(vmId) }),
                },
            });
            fixture.servers.push(server);
            const address = await server.listen("127.0.0.1:0");
            fixture.vmList.add({ vmId, role: "entry", address, availabilityZone: "vic", state: "live" });
        }
        return fixture;
    }

    writeSettings(operator: string): void {
        const platform = { log: this.log.address, vmList: this.vmList.address };
        const settings = { operator: { name: operator }, platform, security: { controlKey: CONTROL_KEY } };
        this.files.set("marigoldstall.yaml", JSON.stringify(settings));
    }

    async run(...args: readonly string[]): Promise<ToolResult> {
        let stdout = "";
        let stderr = "";
        const exitCode = await runTool(args, {
            env: {},
            readFile: path => {
                const text = this.files.get(path);
                return text === undefined ? Promise.reject(new Error("no such file")) : Promise.resolve(text);
            },
            writeOutput: text => {
                stdout += text;
            },
            writeError: text => {
                stderr += text;
            },
            createClients: ({ platform, security }) => ({
                log: new HttpLogClient({ address: platform.log, responseTimeoutMs: 500 }),
                vmList: new HttpVmListClient({ address: platform.vmList }),
                daemons: new RpcDaemonClient({ controlKey: security.controlKey }),
            }),
            nowMs: () => Math.round(performance.now()),
            delay: async ms => {
                await delay(Math.min(ms, 20));
            },
            createUniqueId: () => `id${this.nextId++}`,
        });
        return { exitCode, stdout, stderr };
    }

    async stopDaemon(index: number): Promise<void> {
        await this.servers[index]?.close();
    }

    async stop(): Promise<void> {
        await Promise.all([...this.servers.map(server => server.close()), this.log.close(), this.vmList.close()]);
    }

    private status(vmId: string): DaemonStatus {
        return {
            vmId,
            incarnation: "i",
            configurationVersion: 1,
            ready: true,
            reasonsNotReady: [],
            backendServers: [],
            classes: [],
            sharesOwned: 32,
            logAvailable: true,
            probesInLastSecond: 3,
            probesPerSecond: 20,
            stale: [],
            ...this.statuses.get(vmId),
        };
    }
}
