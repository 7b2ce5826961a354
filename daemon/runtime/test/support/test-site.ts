import { LogStandIn } from "@marigoldstall-private/log";
import { VmListStandIn } from "@marigoldstall-private/vm-list";
import type { DaemonSettings, RequestLimits } from "@marigoldstall/config.settings";
import { DEFAULT_REQUEST_LIMITS } from "@marigoldstall/config.settings";
import type { ClassTargets, Targets } from "@marigoldstall/core.types";
import { Daemon } from "@marigoldstall/daemon.runtime";
import { TestBackend } from "./test-backend.js";
import { waitUntil } from "./wait-until.js";

const createClass = (name: string, overrides: Partial<ClassTargets>): ClassTargets => ({
    name,
    service: "statusdesk",
    urgency: "urgent",
    repeatable: true,
    lateness: { percentile: 99, withinMs: 300 },
    turnedAwayAtMostPercent: 1,
    match: [],
    ...overrides,
});

const TARGETS: Targets = {
    site: "test",
    measuring: { probesPerSecond: 20 },
    classes: [
        createClass("check", { match: [{ methods: ["GET", "POST"], pathPrefix: "/status" }] }),
        createClass("dispatch", {
            repeatable: false,
            match: [{ methods: ["POST"], pathPrefix: "/dispatch" }],
        }),
    ],
};

interface TestSiteOptions {
    readonly backends?: readonly TestBackend[];
    readonly limits?: Partial<RequestLimits>;
    readonly noticeMs?: number;
}

/** Platform stand-ins, backend servers and daemons for a test. */
export class TestSite {
    readonly daemons: Daemon[] = [];
    private constructor(
        readonly log: LogStandIn,
        readonly vmList: VmListStandIn,
        readonly backends: readonly TestBackend[],
        private readonly opts: TestSiteOptions,
    ) {}

    static async start(opts: TestSiteOptions = {}): Promise<TestSite> {
        const log = await LogStandIn.start({ retentionMs: 3_600_000 });
        const vmList = await VmListStandIn.start();
        const backends = opts.backends ?? [new TestBackend()];
        for (const [index, backend] of backends.entries()) {
            await backend.start();
            vmList.add({
                vmId: `statusdesk-${index}`,
                role: "statusdesk",
                address: backend.address,
                availabilityZone: "bezigrad",
                state: "live",
            });
        }
        const site = new TestSite(log, vmList, backends, opts);
        await site.publish(1);
        return site;
    }

    async publish(version: number): Promise<void> {
        await fetch(`http://${this.log.address}/streams/configuration/records`, {
            method: "POST",
            body: JSON.stringify({
                publishId: `publish-${version}`,
                version,
                parentVersion: version - 1,
                author: "test",
                targets: TARGETS,
            }),
        });
    }

    /** Starts a daemon and adds it to the VM list. */
    async startDaemon(vmId: string): Promise<Daemon> {
        const settings: DaemonSettings = {
            vm: { id: vmId, region: "osrednja", availabilityZone: "bezigrad" },
            listen: { caller: "127.0.0.1:0", control: "127.0.0.1:0", operator: "127.0.0.1:0" },
            platform: { log: this.log.address, vmList: this.vmList.address, logRetentionMs: 3_600_000 },
            security: { controlKey: "a control key of at least 32 characters" },
            limits: { ...DEFAULT_REQUEST_LIMITS, ...this.opts.limits },
            stop: { noticeMs: this.opts.noticeMs ?? 0 },
        };
        const daemon = new Daemon(settings);
        this.daemons.push(daemon);
        await daemon.start();
        this.vmList.add({
            vmId,
            role: "entry",
            address: daemon.addresses.control,
            availabilityZone: "bezigrad",
            state: "live",
        });
        return daemon;
    }

    async startReadyDaemon(vmId = "entry-1"): Promise<Daemon> {
        const daemon = await this.startDaemon(vmId);
        await this.waitReady(daemon);
        return daemon;
    }

    async waitReady(daemon: Daemon): Promise<void> {
        await waitUntil(
            async () => (await fetch(`http://${daemon.addresses.operator}/readyz`)).status === 200,
            { description: "the daemon is ready" },
        );
    }

    async stop(): Promise<void> {
        for (const backend of this.backends) {
            backend.stop();
        }
        await Promise.all(this.daemons.map(daemon => daemon.stop()));
        await this.log.close();
        await this.vmList.close();
    }
}
