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

const answers = (address: string) =>
    fetch(`http://${address}/`, { signal: AbortSignal.timeout(1000) }).then(() => true, () => false);

const runs = (pid: number) => {
    try {
        return process.kill(pid, 0);
    }
    catch {
        return false;
    }
};

describe("the site layouts", () => {
    for (
        const { layout, entryVms, servers } of [
            { layout: luznik, entryVms: 13, servers: [12, 6, 6, 7] },
            { layout: zilina, entryVms: 14, servers: [9, 8, 8, 8] },
        ]
    ) {
        describe(layout.name, () => {
            it("has the sizes of the design page", () => {
                expect(findSiteLayout(layout.name)).to.equal(layout);
                expect(layout.entryVms).to.equal(entryVms);
                expect(layout.services.map(service => service.backendServers)).to.deep.equal(servers);
            });

            it("has targets that the tool accepts, for the same classes as the load", () => {
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

    it("starts the daemons with settings that they accept", async () => {
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

    it("lists all VMs, over all availability zones", async () => {
        const list = await (await fetch(`http://${site.platform.vmList}/vms`)).json() as {
            readonly vms: readonly { readonly role: string; readonly availabilityZone: string; }[];
        };
        const count = (role: string) => list.vms.filter(vm => vm.role === role).length;
        expect(["entry", "statusdesk", "crewcall", "fotoshramba", "arhiv"].map(count)).to.deep.equal([4, 12, 6, 6, 7]);
        expect(new Set(list.vms.map(vm => vm.availabilityZone))).to.deep.equal(new Set(luznik.availabilityZones));
    });

    it("gives the records of all backend servers, also of one that has crashed", async () => {
        const server = site.backendServers[0];
        if (server !== undefined) {
            await fetch(`http://${server.address}/x`);
            await site.actOnBackend(server, "crash");
            expect(await answers(server.address)).to.equal(false);
        }
        const records = await site.records();
        expect(records).to.have.length(31);
        expect(records.find(record => record.vmId === server?.vmId)?.runs).to.have.length(1);
    });

    it("restarts a daemon that was killed on its former addresses", async () => {
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

describe("the end of a site", () => {
    const expectAllEnded = async (addresses: readonly string[], pids: readonly number[]) => {
        const endsAtMs = performance.now() + 8000;
        let left: readonly unknown[] = addresses;
        while (left.length > 0 && performance.now() < endsAtMs) {
            await delay(50);
            const answering = await Promise.all(addresses.map(answers));
            left = [...addresses.filter((address, index) => answering[index]), ...pids.filter(runs)];
        }
        expect(left).to.deep.equal([]);
    };

    it("leaves no process and no file behind when it is stopped", async () => {
        const site = await Site.start({ layout: zilina, daemons: 2, hostProcesses: 1, daemonCommand });
        const pids = site.daemons.map(daemon => site.processOf(daemon).pid);
        const addresses = [
            site.platform.log,
            site.platform.vmList,
            ...site.backendServers.map(({ address }) => address),
        ];
        await site.stop();
        await expectAllEnded(addresses, pids);
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
        expect(started.pids.map(runs)).to.deep.equal([true, true]);
        starter.kill("SIGKILL");
        await expectAllEnded(started.addresses, started.pids);
        rmSync(directory, { recursive: true });
        rmSync(started.directory, { recursive: true });
    });
});
