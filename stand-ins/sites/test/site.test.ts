import { findSiteLayout, findTargetsFile, luznik, ManagedProcess, Site, zilina } from "@marigoldstall-private/sites";
import { readDaemonSettings, readToolSettings } from "@marigoldstall/config.settings";
import { readTargets } from "@marigoldstall/config.targets";
import { expect } from "chai";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const fixture = (name: string) => fileURLToPath(new URL(`fixtures/${name}`, import.meta.url));
const daemonCommand = [process.execPath, fixture("fake-daemon.mjs")];

const isReachable = (address: string) =>
    fetch(`http://${address}/`, { signal: AbortSignal.timeout(1000) }).then(() => true, () => false);

const isRunning = (pid: number) => {
    try {
        return process.kill(pid, 0);
    }
    catch {
        return false;
    }
};

describe("site layouts", () => {
    for (
        const { layout, entryVms, servers } of [
            { layout: luznik, entryVms: 13, servers: [12, 6, 6, 7] },
            { layout: zilina, entryVms: 14, servers: [9, 8, 8, 8] },
        ]
    ) {
        describe(layout.name, () => {
            it("has the number of VMs stated in the design", () => {
                expect(findSiteLayout(layout.name)).to.equal(layout);
                expect(layout.entryVms).to.equal(entryVms);
                expect(layout.services.map(service => service.backendServers)).to.deep.equal(servers);
            });

            it("has valid targets for the same classes as its load", () => {
                const file = findTargetsFile(layout.name);
                const targets = readTargets(readFileSync(file, "utf8"), { file })._unsafeUnwrap();
                const fields = (entry: { readonly name: string; readonly repeatable: boolean; }) =>
                    `${entry.name} ${entry.repeatable}`;
                expect(targets.classes.map(fields)).to.have.members(layout.classes.map(fields));
                for (const load of layout.classes) {
                    const target = targets.classes.find(candidate => candidate.name === load.name);
                    expect(load.path).to.equal(`/${target?.service}${target?.match[0]?.pathPrefix}`);
                }
            });
        });
    }
});

describe("Site", () => {
    let site: Site;
    before(async () => {
        site = await Site.start({ layout: luznik, daemons: 4, hostProcesses: 2, daemonCommand });
    });
    after(async () => {
        await site.stop();
    });

    it("starts the daemons with valid settings", async () => {
        expect(await site.waitUntilReady({ withinMs: 10_000 })).to.deep.equal([]);
        for (const daemon of site.daemons) {
            const settings = readDaemonSettings(readFileSync(daemon.settingsFile, "utf8"), {
                file: daemon.settingsFile,
            })._unsafeUnwrap();
            expect(settings.vm).to.deep.equal({
                id: daemon.vmId,
                region: "osrednja",
                availabilityZone: daemon.availabilityZone,
            });
            expect(settings.platform).to.include(site.platform);
        }
        const tool = readToolSettings(readFileSync(site.toolSettingsFile, "utf8"), { file: site.toolSettingsFile });
        expect(tool._unsafeUnwrap().platform).to.include(site.platform);
    });

    it("lists all VMs, spread over all availability zones", async () => {
        const list = await (await fetch(`http://${site.platform.vmList}/vms`)).json() as {
            readonly vms: readonly { readonly role: string; readonly availabilityZone: string; }[];
        };
        const count = (role: string) => list.vms.filter(vm => vm.role === role).length;
        expect(["entry", "statusdesk", "crewcall", "fotoshramba", "arhiv"].map(count)).to.deep.equal([4, 12, 6, 6, 7]);
        expect(new Set(list.vms.map(vm => vm.availabilityZone))).to.deep.equal(new Set(luznik.availabilityZones));
    });

    it("returns the records of all backend servers, including a crashed one", async () => {
        const server = site.backendServers[0];
        if (server !== undefined) {
            await fetch(`http://${server.address}/x`);
            await site.controlBackend(server, "crash");
            expect(await isReachable(server.address)).to.equal(false);
        }
        const records = await site.records();
        expect(records).to.have.length(31);
        expect(records.find(record => record.vmId === server?.vmId)?.runs).to.have.length(1);
    });

    it("restarts a killed daemon on the same addresses", async () => {
        const daemon = site.daemons[0];
        if (daemon !== undefined) {
            site.processOf(daemon).kill("SIGKILL");
            expect(await site.processOf(daemon).exited).to.equal("SIGKILL");
            expect(await site.isReady(daemon)).to.equal(false);
            await site.startDaemon(daemon);
        }
        expect(await site.waitUntilReady({ withinMs: 10_000 })).to.deep.equal([]);
    });
});

describe("cleanup of a site", () => {
    const expectAllStopped = async (addresses: readonly string[], pids: readonly number[]) => {
        const deadlineAtMs = performance.now() + 8000;
        let remaining: readonly unknown[] = addresses;
        while (remaining.length > 0 && performance.now() < deadlineAtMs) {
            await delay(50);
            const reachable = await Promise.all(addresses.map(isReachable));
            remaining = [...addresses.filter((address, index) => reachable[index]), ...pids.filter(isRunning)];
        }
        expect(remaining).to.deep.equal([]);
    };

    it("leaves no process or file behind when it is stopped", async () => {
        const site = await Site.start({ layout: zilina, daemons: 2, hostProcesses: 1, daemonCommand });
        const pids = site.daemons.map(daemon => site.processOf(daemon).pid);
        const addresses = [
            site.platform.log,
            site.platform.vmList,
            ...site.backendServers.map(({ address }) => address),
        ];
        await site.stop();
        await expectAllStopped(addresses, pids);
        expect(existsSync(site.directory)).to.equal(false);
    });

    it("leaves no process behind when the process that started it is killed", async () => {
        const directory = mkdtempSync(join(tmpdir(), "marigoldstall-test-"));
        const starter = new ManagedProcess({
            name: "starter",
            command: [process.execPath, fixture("start-site.mjs")],
            logFile: join(directory, "starter.log"),
            readsFirstLine: true,
        });
        const started = await starter.firstLine() as {
            readonly directory: string;
            readonly pids: readonly number[];
            readonly addresses: readonly string[];
        };
        expect(started.pids.map(isRunning)).to.deep.equal([true, true]);
        starter.kill("SIGKILL");
        await expectAllStopped(started.addresses, started.pids);
        rmSync(directory, { recursive: true });
        rmSync(started.directory, { recursive: true });
    });
});
