import {
    buildVmSettings,
    fetchStatus,
    PlatformServer,
    READY_PATH,
    SETTINGS_VARIABLE,
    StoreStandIn,
} from "@marigoldstall-private/platform";
import { ManagedProcess } from "@marigoldstall-private/sites";
import { expect } from "chai";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request as httpRequest } from "node:http";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { UntrustedCaller } from "./support/untrusted-caller.js";

const PROGRAM = resolve("target/marigoldstall-entry.cjs");
const PORTS = { caller: 28_941, ready: 28_940, control: 28_949, fleet: 27_920 };
const PUBLIC_HOST = "crowd.example";
const SERVICE = "one";
const SERVER_COUNT = 4;
const STATUS_OK = 200;
const POLL_INTERVAL_MS = 50;
const KILOBYTE = 1_024;
const MEGABYTE = 1_024 * KILOBYTE;
// The limits of the machine, below those of the smallest VM in use, so that a small crowd reaches them.
const MEMORY_MB = 180;
const MAX_DESCRIPTORS = 400;
const MAX_HEAP_MB = 96;
const MAX_BODY_BYTES = 8 * MEGABYTE;
const FAR_OVER_BYTES = 4 * MAX_BODY_BYTES;
const ONE_BYTE_CHUNKS_BYTES = 600 * KILOBYTE;
const ANSWER_BYTES = 8_000_000;
const PIPELINED_REQUESTS = 20;
const CALLERS = 60;
const CALLERS_OF_EACH_KIND = 10;
const CONNECTIONS_WITHOUT_BYTE = 600;
const PARTIAL_HEADS = 350;
const PARTIAL_HEAD_BYTES = 60 * KILOBYTE;
// How long a crowd may take to send, for callers whose bytes are no longer read.
const MAX_SEND_MS = 15_000;
// Kept open for some time, as limits may take effect only after the last byte.
const HOLD_MS = 2_000;
const ORDINARY_TIMEOUT_MS = 10_000;
const MAX_ORDINARY_TRIES = 8;
const TEST_TIMEOUT_MS = 120_000;

// The smallest VM, the heap of the deploy file, and the largest body that a deployment accepts.
const SMALLEST_VM = { memoryMb: 202, maxHeapMb: 160, maxBodyBytes: 64 * MEGABYTE };

const LARGE_PIECE = Buffer.alloc(MEGABYTE, "a");
const LARGE_CHUNK = Buffer.concat([Buffer.from("100000\r\n"), LARGE_PIECE, Buffer.from("\r\n")]);
const SMALL_CHUNKS = Buffer.from("1\r\na\r\n".repeat(10 * KILOBYTE));

type CallerPlan = Omit<ConstructorParameters<typeof UntrustedCaller>[0], "host" | "port">;

const toHead = (framing: string): string =>
    `POST /write/ HTTP/1.1\r\nHost: ${PUBLIC_HOST}\r\nX-Request-Id: crowd\r\n${framing}\r\n\r\n`;
const lengthHead = (bytes: number): string => toHead(`Content-Length: ${bytes}`);
const CHUNKED_HEAD = toHead("Transfer-Encoding: chunked");

const BODY_PLANS: readonly { readonly name: string; readonly plan: CallerPlan; }[] = [
    {
        name: "large bodies, each sent as a whole",
        plan: { head: lengthHead(MAX_BODY_BYTES), repeated: LARGE_PIECE, repeatedBytes: MAX_BODY_BYTES },
    },
    {
        name: "large bodies, sent piece by piece",
        plan: {
            head: lengthHead(MAX_BODY_BYTES),
            repeated: LARGE_PIECE,
            repeatedBytes: MAX_BODY_BYTES,
            pieceBytes: 16 * KILOBYTE,
        },
    },
    {
        name: "large bodies that stop just short of their end",
        plan: { head: lengthHead(MAX_BODY_BYTES), repeated: LARGE_PIECE, repeatedBytes: MAX_BODY_BYTES - 1 },
    },
    {
        name: "chunked bodies in large chunks that stop just short of their end",
        plan: {
            head: CHUNKED_HEAD,
            repeated: LARGE_CHUNK,
            repeatedBytes: MAX_BODY_BYTES / MEGABYTE * LARGE_CHUNK.length - 1,
        },
    },
    {
        name: "chunked bodies in chunks of one byte that stop just short of their end",
        plan: { head: CHUNKED_HEAD, repeated: SMALL_CHUNKS, repeatedBytes: ONE_BYTE_CHUNKS_BYTES },
    },
    {
        name: "bodies far over the limit that are announced",
        plan: { head: lengthHead(FAR_OVER_BYTES), repeated: LARGE_PIECE, repeatedBytes: FAR_OVER_BYTES - 1 },
    },
    {
        name: "bodies far over the limit that are just sent",
        plan: { head: CHUNKED_HEAD, repeated: LARGE_CHUNK, repeatedBytes: FAR_OVER_BYTES },
    },
];

const UNREAD_PLAN: CallerPlan = {
    head: "",
    repeated: Buffer.from(
        `GET /read/?workMs=0&bodyBytes=${ANSWER_BYTES} HTTP/1.1\r\nHost: ${PUBLIC_HOST}\r\nX-Request-Id: unread\r\n\r\n`,
    ),
    isReading: false,
};

const repeat = (plan: CallerPlan, count: number): readonly CallerPlan[] => [...Array(count)].map(() => plan);

const ROWS: readonly { readonly name: string; readonly plans: readonly CallerPlan[]; }[] = [
    ...BODY_PLANS.map(({ name, plan }) => ({ name, plans: repeat(plan, CALLERS) })),
    {
        name: "all kinds of bodies at once",
        plans: BODY_PLANS.flatMap(({ plan }) => repeat(plan, CALLERS_OF_EACH_KIND)),
    },
    { name: "connections without a byte", plans: repeat({ head: "" }, CONNECTIONS_WITHOUT_BYTE) },
    {
        name: "request heads that stop short",
        plans: repeat(
            { head: `GET /read/ HTTP/1.1\r\nHost: x\r\nX-Filler: ${"a".repeat(PARTIAL_HEAD_BYTES)}` },
            PARTIAL_HEADS,
        ),
    },
    {
        name: "callers that do not read their responses",
        plans: repeat(
            { ...UNREAD_PLAN, repeatedBytes: PIPELINED_REQUESTS * (UNREAD_PLAN.repeated?.length ?? 0) },
            CALLERS,
        ),
    },
];

interface MachineLimits {
    readonly memoryMb?: number;
    readonly maxHeapMb?: number;
    readonly maxBodyBytes?: number;
}

let hostCount = 0;

const nextHost = (): string => {
    hostCount += 1;
    return `127.${100 + process.pid % 20}.${Math.floor(process.pid / 20) % 250}.${hostCount}`;
};

// Untrusted callers made a process run out of memory. Memory and descriptors are compared with the machine's limits only.
describe("The program of an entry VM with untrusted callers", () => {
    let directory: string;
    let host: string;
    let store: StoreStandIn;
    let servers: readonly PlatformServer[];
    let daemon: ManagedProcess;
    let callers: readonly UntrustedCaller[];
    let maxDescriptorCount: number;
    let watcher: NodeJS.Timeout;

    const readLog = (): string => readFileSync(join(directory, "vm-0.log"), "utf8").slice(-4_000);

    const readPeakMemoryMb = (): number =>
        Number(/VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${daemon.pid}/status`, "utf8"))?.[1]) / KILOBYTE;

    const start = async (
        { memoryMb = MEMORY_MB, maxHeapMb = MAX_HEAP_MB, maxBodyBytes = MAX_BODY_BYTES }: MachineLimits = {},
    ): Promise<void> => {
        directory = mkdtempSync(join(tmpdir(), "marigoldstall-crowd-"));
        host = nextHost();
        store = new StoreStandIn();
        const storeAddress = await store.listen(host);
        store.publish({ version: 1, host: PUBLIC_HOST, service: SERVICE, maxBodyBytes });
        servers = [...Array(SERVER_COUNT).keys()].map(index =>
            new PlatformServer({ instanceId: `i-${index}`, workMs: () => 0, onRun: () => undefined })
        );
        for (const server of servers) {
            const port = await server.listen(host);
            store.register({
                instanceId: server.instanceId,
                startedAtUnixMs: 1,
                service: SERVICE,
                address: `${host}:${port}`,
                availabilityZone: "zone-0",
                slots: server.slots,
                isDraining: false,
            });
        }
        const settings = buildVmSettings({
            vmId: "vm-0",
            availabilityZone: "zone-0",
            host,
            ports: PORTS,
            heartbeatMs: 1_500,
            storeAddress,
            seedAddresses: [],
        }) as { readonly limits: Readonly<Record<string, unknown>>; };
        const limits = { ...settings.limits, memoryMb, maxFds: MAX_DESCRIPTORS };
        const file = join(directory, "settings.json");
        writeFileSync(file, JSON.stringify({ ...settings, limits }));
        daemon = new ManagedProcess({
            name: "vm-0",
            command: [process.execPath, `--max-old-space-size=${maxHeapMb}`, PROGRAM],
            logFile: join(directory, "vm-0.log"),
            environment: { [SETTINGS_VARIABLE]: file },
        });
        callers = [];
        maxDescriptorCount = 0;
        watcher = setInterval(() => {
            if (daemon.running) {
                maxDescriptorCount = Math.max(maxDescriptorCount, readdirSync(`/proc/${daemon.pid}/fd`).length);
            }
        }, POLL_INTERVAL_MS);
        while (await fetchStatus(`${host}:${PORTS.ready}`, { path: READY_PATH }) !== STATUS_OK) {
            expect(daemon.running, readLog()).to.equal(true);
            await sleep(POLL_INTERVAL_MS);
        }
    };

    afterEach(async () => {
        clearInterval(watcher);
        for (const caller of callers) {
            caller.close();
        }
        daemon.kill("SIGKILL");
        await daemon.exited;
        for (const server of servers) {
            server.close();
        }
        store.close();
        rmSync(directory, { recursive: true, force: true });
    });

    const sendOrdinaryRequest = async (): Promise<number | undefined> => {
        let status: number | undefined;
        for (let count = 0; count < MAX_ORDINARY_TRIES && status !== STATUS_OK && daemon.running; count += 1) {
            status = await fetchStatus(`${host}:${PORTS.caller}`, {
                path: "/read/",
                host: PUBLIC_HOST,
                timeoutMs: ORDINARY_TIMEOUT_MS,
            });
            await sleep(POLL_INTERVAL_MS);
        }
        return status;
    };

    for (const { name, plans } of ROWS) {
        it(`outlives ${name}, stays within the machine's limits and answers an ordinary request`, async () => {
            await start();
            callers = plans.map(plan => new UntrustedCaller({ ...plan, host, port: PORTS.caller }));
            await Promise.race([Promise.all(callers.map(caller => caller.run())), sleep(MAX_SEND_MS)]);
            await sleep(HOLD_MS);
            const status = await sendOrdinaryRequest();
            const peakMb = daemon.running ? readPeakMemoryMb() : undefined;
            const seen = { isRunning: daemon.running, peakMb, maxDescriptorCount, status };
            if (process.env["PRINT_SEEN"] !== undefined) {
                console.log(name, JSON.stringify(seen));
            }
            expect(seen.isRunning, readLog()).to.equal(true);
            expect(status, "status of the ordinary request").to.equal(STATUS_OK);
            expect(peakMb, "peak memory, MB").to.be.at.most(MEMORY_MB);
            expect(maxDescriptorCount, "open descriptors").to.be.at.most(MAX_DESCRIPTORS);
        }).timeout(TEST_TIMEOUT_MS);
    }

    for (const framing of ["Content-Length", "chunked"] as const) {
        // Guards against limits for many callers that refuse a single one.
        it(`serves one body of the largest size on the smallest VM in calm, ${framing}`, async () => {
            await start(SMALLEST_VM);
            const body = Buffer.alloc(SMALLEST_VM.maxBodyBytes, "a");
            let status: number | undefined;
            for (let count = 0; count < MAX_ORDINARY_TRIES && status !== STATUS_OK && daemon.running; count += 1) {
                status = await new Promise<number | undefined>((done, fail) => {
                    const request = httpRequest({
                        host,
                        port: PORTS.caller,
                        method: "POST",
                        path: "/write/",
                        headers: {
                            "Host": PUBLIC_HOST,
                            "X-Request-Id": `large-${count}`,
                            ...framing === "chunked"
                                ? { "Transfer-Encoding": "chunked" }
                                : { "Content-Length": body.length },
                        },
                    }, response => {
                        response.resume();
                        done(response.statusCode);
                    });
                    request.on("error", fail);
                    request.end(body);
                });
            }
            expect(status).to.equal(STATUS_OK);
            expect(readPeakMemoryMb(), "peak memory, MB").to.be.at.most(SMALLEST_VM.memoryMb);
        }).timeout(TEST_TIMEOUT_MS);
    }
});
