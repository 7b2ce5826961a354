import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Backend } from "./backend.mjs";
import { Caller } from "./caller.mjs";
import { Entry } from "./entry.mjs";
import { Store } from "./store.mjs";

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const TIME_LIMIT_MS = 110_000;

// Finds ports that are free at an address.
const pickPorts = async (host, names) => {
    const servers = await Promise.all(names.map(() =>
        new Promise((resolve, reject) => {
            const server = createServer().listen(0, host, () => resolve(server)).on("error", reject);
        })
    ));
    const ports = Object.fromEntries(names.map((name, index) => [name, servers[index].address().port]));
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
};

/**
 * Runs a case with a store on a part of the loopback network of its own. The case gets functions that start the parts, and
 * returns what broke the rule, or an empty list. Writes `record.txt` and ends all processes and servers.
 */
export const runCase = async (moduleUrl, run) => {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const lines = [];
    const startedAtMs = performance.now();
    const record = text => {
        lines.push(`${((performance.now() - startedAtMs) / 1_000).toFixed(3)} ${text}`);
    };
    const subnet = `127.${80 + (process.pid >> 8) % 40}.${process.pid % 256}`;
    const isTrouble = process.env.TROUBLE !== "0";
    const parts = [];
    const store = new Store();
    let exitCode = EXIT_NOT_RUN;
    const site = {
        isTrouble,
        record,
        store,
        isLive: true,
        addBackend: async opts => {
            const onRun = run => {
                record(`${run.backend} of ${run.service} runs ${run.path} as ${run.id}`);
                opts.onRun?.(run);
            };
            const backend = new Backend({ ...opts, onRun });
            await backend.listen(`${subnet}.2`);
            parts.push(backend);
            store.register(backend.id, backend);
            return backend;
        },
        startEntries: async (count, zones = [undefined]) => {
            const hosts = [...Array(count).keys()].map(index => `${subnet}.${10 + index}`);
            const ports = await pickPorts(hosts[0], ["front", "ready", "control", "fleet"]);
            const entries = hosts.map((host, index) =>
                new Entry({
                    name: `vm-${index}`,
                    host,
                    ports,
                    zone: zones[index % zones.length],
                    seeds: hosts.slice(0, 3),
                    storeAddress: store.address,
                    folder,
                    record,
                })
            );
            entries.forEach(entry => entry.start());
            site.entries = entries;
            await Promise.all(entries.map(entry => entry.waitUntilReady()));
            return entries;
        },
        entries: [],
        caller: entry => {
            const caller = new Caller({ entry, record });
            parts.push(caller);
            return caller;
        },
    };
    const timer = setTimeout(() => {
        record("time limit reached");
        void end();
    }, TIME_LIMIT_MS);
    const end = async () => {
        clearTimeout(timer);
        site.isLive = false;
        await Promise.all(site.entries.map(entry => entry.stop()));
        parts.forEach(part => part.close());
        store.close();
        writeFileSync(join(dirname(fileURLToPath(moduleUrl)), "record.txt"), `${lines.join("\n")}\n`);
        if (process.env.KEEP_LOGS === "1") {
            console.log(`logs are in ${folder}`);
        }
        else {
            rmSync(folder, { recursive: true, force: true });
        }
        process.exit(exitCode);
    };
    for (const event of ["uncaughtException", "SIGTERM", "SIGINT"]) {
        process.once(event, cause => {
            record(`the case could not run: ${cause.stack ?? cause}`);
            console.log(String(cause));
            void end();
        });
    }
    try {
        record(isTrouble ? "run with the disruption" : "run without the disruption");
        await store.listen(`${subnet}.1`);
        const violations = await run(site);
        exitCode = violations.length === 0 ? EXIT_HELD : EXIT_BROKEN;
        violations.forEach(violation => record(`RULE BROKEN: ${violation}`));
        record(violations.length === 0 ? "the rule held" : "the rule was broken");
        console.log(violations.length === 0 ? "the rule held" : violations.join("\n"));
    }
    catch (error) {
        record(`the case could not run: ${error.stack}`);
        console.log(String(error));
    }
    await end();
};
