import {
    buildVmSettings,
    PlatformServer,
    READY_PATH,
    SETTINGS_VARIABLE,
    StoreStandIn,
} from "@marigoldstall-private/platform";
import { RandomSource } from "@marigoldstall-private/random";
import { ManagedProcess } from "@marigoldstall-private/sites";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { findLostRequests } from "./find-lost-requests.js";
import type { Habit } from "./habit.js";
import { RawCaller } from "./raw-caller.js";
import type { SentRequest } from "./sent-request.js";

interface RunStopOptions {
    readonly seed: number;
    /** Share of responses without a length. */
    readonly unframedShare?: number;
    /** Number of callers that send requests of all kinds behind one another. Default: 0. */
    readonly mixedCallers?: number;
}

interface RunStopResult {
    readonly outcomes: readonly SentRequest[];
    readonly lost: readonly SentRequest[];
    readonly runs: ReadonlyMap<string, number>;
}

const PROGRAM = resolve("target/marigoldstall-entry.cjs");
// Below the range from which the kernel takes the ports of outgoing connections.
const PORTS = { caller: 28_741, ready: 28_740, control: 28_749, fleet: 27_720 };
const PUBLIC_HOST = "stop.example";
const SERVICE = "stop";
const SERVER_COUNT = 12;
const HABITS = ["serial", "pipelined", "chunked", "late", "slow-reader"] as const;
const CALLERS_PER_HABIT = { "serial": 4, "pipelined": 4, "chunked": 3, "late": 6, "slow-reader": 1 } as const;
const MIXED_SEED_FACTOR = 1_000_003;
const MAX_STOP_DELAY_MS = 1_500;
const DISTURBANCES_PER_RUN = 6;
const GRACE_MS = 6_000;
// The daemon exits this long before the platform would kill it, and the clocks of both processes differ a little.
const GRACE_MARGIN_MS = 300;

const sleep = (durationMs: number): Promise<void> =>
    new Promise(done => {
        setTimeout(done, durationMs);
    });

let tryCount = 0;

/** A loopback address of its own for each process and try, so that several can run at once. */
const nextHost = (): string => {
    tryCount += 1;
    return `127.${30 + process.pid % 200}.${Math.floor(process.pid / 200) % 250}.${tryCount}`;
};

/**
 * Stops an entry daemon, a process of its own, while callers use it in several ways. Reloads, further SIGTERMs and new
 * configurations come at any time.
 */
export const runStop = async (opts: RunStopOptions): Promise<RunStopResult> => {
    const random = new RandomSource({ seed: opts.seed });
    const frameRandom = new RandomSource({ seed: opts.seed + 1 });
    const runs = new Map<string, number>();
    const directory = mkdtempSync(join(tmpdir(), "marigoldstall-stop-"));
    const host = nextHost();
    const store = new StoreStandIn();
    const storeAddress = await store.listen(host);
    let version = 1;
    const publish = (): void => {
        version += 1;
        store.publish({ version, host: PUBLIC_HOST, service: SERVICE });
    };
    publish();
    const servers = [...Array(SERVER_COUNT).keys()].map(index =>
        new PlatformServer({
            instanceId: `i-${index}`,
            workMs: () => 0,
            onRun: requestId => {
                runs.set(requestId, performance.now());
            },
            isFramed: () => frameRandom.uniform() >= (opts.unframedShare ?? 0),
        })
    );
    const register = (): void => {
        for (const { instanceId, port, slots } of servers) {
            store.register({
                instanceId,
                startedAtUnixMs: 1,
                service: SERVICE,
                address: `${host}:${port}`,
                availabilityZone: "zone-0",
                slots,
                isDraining: false,
            });
        }
    };
    await Promise.all(servers.map(server => server.listen(host)));
    register();
    const file = join(directory, "settings.json");
    const settings = buildVmSettings({
        vmId: "vm-0",
        availabilityZone: "zone-0",
        host,
        ports: PORTS,
        heartbeatMs: 1_500,
        storeAddress,
        seedAddresses: [],
    });
    writeFileSync(file, JSON.stringify(settings));
    const daemon = new ManagedProcess({
        name: "vm-0",
        command: [process.execPath, "--max-old-space-size=160", PROGRAM],
        logFile: join(directory, "vm-0.log"),
        environment: { [SETTINGS_VARIABLE]: file },
    });
    const heartbeat = setInterval(register, 1_000);
    const createCaller = (habit: Habit, index: number, callerSeed: number): RawCaller =>
        new RawCaller({
            host,
            port: PORTS.caller,
            publicHost: PUBLIC_HOST,
            name: `${habit}-${index}`,
            habit,
            random: new RandomSource({ seed: callerSeed }),
        });
    const callers = HABITS.flatMap((habit, habitIndex) =>
        [...Array(CALLERS_PER_HABIT[habit]).keys()].map(index =>
            createCaller(habit, index, opts.seed * 100 + index * HABITS.length + habitIndex)
        )
    );
    for (let index = 0; index < (opts.mixedCallers ?? 0); index += 1) {
        callers.push(createCaller("mixed", index, opts.seed * MIXED_SEED_FACTOR + index));
    }
    let stoppedAtMs = Infinity;
    try {
        while ((await fetch(`http://${host}:${PORTS.ready}${READY_PATH}`).catch(() => undefined))?.status !== 200) {
            if (!daemon.running) {
                throw new Error(`the daemon ended before it was ready, see ${directory}`);
            }
            await sleep(20);
        }
        const ended = callers.map(each => each.run());
        const disturb = async (): Promise<void> => {
            await sleep(random.uniform() * (MAX_STOP_DELAY_MS + GRACE_MS / 2));
            const kind = random.uniform();
            if (kind < 0.5) {
                publish();
            }
            else {
                daemon.kill("SIGHUP");
            }
        };
        const disturbances = Array.from({ length: DISTURBANCES_PER_RUN }, disturb);
        await sleep(random.uniform() * MAX_STOP_DELAY_MS);
        stoppedAtMs = performance.now();
        daemon.kill("SIGTERM");
        await sleep(random.uniform() * MAX_STOP_DELAY_MS);
        daemon.kill("SIGTERM");
        await daemon.exited;
        for (const each of callers) {
            each.stop();
        }
        await Promise.all([...ended, ...disturbances]);
    }
    finally {
        clearInterval(heartbeat);
        daemon.kill("SIGKILL");
        for (const server of servers) {
            server.close();
        }
        store.close();
    }
    const outcomes = callers.flatMap(each => each.outcomes);
    const lost = findLostRequests({ outcomes, runs, graceEndsAtMs: stoppedAtMs + GRACE_MS - GRACE_MARGIN_MS });
    if (lost.length === 0) {
        rmSync(directory, { recursive: true });
    }
    return { outcomes, lost, runs };
};
