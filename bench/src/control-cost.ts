import { createMembershipState, reduceMembership } from "@marigoldstall/fleet.membership";
import type { Heartbeat } from "@marigoldstall/fleet.membership";
import { loadavg } from "node:os";
import type { BenchOptions } from "./bench-options.js";
import type { CostRow } from "./cost-row.js";
import { describeConditions } from "./describe-conditions.js";
import { generateMember } from "./generate-member.js";
import { measureConfiguration } from "./measure-configuration.js";
import { measureFleet } from "./measure-fleet.js";
import { measureIdempotencyKeys } from "./measure-idempotency-keys.js";
import { measureIdleSite } from "./measure-idle-site.js";
import { measureMembership } from "./measure-membership.js";
import { measureOwnership } from "./measure-ownership.js";
import { measureRouting } from "./measure-routing.js";
import { measureRpc } from "./measure-rpc.js";
import { measureState } from "./measure-state.js";
import { writeMeasurement } from "./write-measurement.js";

const DAEMON_COUNTS = [13, 50, 200, 400];
const FLEET_DAEMON_COUNTS = [13, 50, 200];
const BACKEND_SERVER_COUNTS = [10, 100, 500, 1000, 2200];
const SERVICE_COUNTS = [4, 16, 64];
const KEY_COUNTS = [1_000, 10_000, 100_000];
const CLASSES_PER_SERVICE = 10;
const MAX_SERVICE_COUNT = 64;
const MAX_BACKEND_SERVER_COUNT = 2200;

/** Builds the heartbeat of a daemon that reports pressure on the given number of services. */
const buildPressureHeartbeat = (serviceCount: number, beats: Heartbeat["beats"]): Heartbeat | undefined => {
    const pressure = Array.from({ length: serviceCount }, (unused, index) => (
        { service: `service-${String(index).padStart(2, "0")}`, level: 0.5 }
    ));
    const state = createMembershipState({ self: generateMember(0), atMs: 0 });
    const stateUnderPressure = reduceMembership(state, { type: "pressure-measured", atMs: 1, pressure }).state;
    const effect = reduceMembership(stateUnderPressure, {
        type: "heartbeat-received",
        atMs: 1,
        rpcId: "1",
        heartbeat: {
            sender: generateMember(1),
            stopping: false,
            configurationVersion: 1,
            pressure: [],
            evidence: [],
            beats,
        },
    }).effects.find(answer => answer.type === "answer-heartbeat");
    return effect?.type === "answer-heartbeat" ? effect.heartbeat : undefined;
};

/** Measures the CPU time, traffic and memory of the control plane as the fleet and its configuration grow. */
export const controlCost = async (opts: BenchOptions): Promise<string> => {
    const conditions = describeConditions({ ...opts, seeds: opts.seeds.slice(0, 1) }).slice(0, -1);
    const seed = opts.seeds[0] ?? 1;
    const rows: CostRow[] = [];
    const startMs = performance.now();
    const addRows = (added: readonly CostRow[]): void => {
        rows.push(...added);
        for (const row of added) {
            opts.print(`${row.part} | ${row.at} | ${row.quantity} | ${row.value}`);
        }
    };
    addRows(await measureIdleSite({ seed }));
    let heartbeat: Heartbeat | undefined;
    for (const daemonCount of DAEMON_COUNTS) {
        const membership = await measureMembership(daemonCount, { seed });
        heartbeat = membership.heartbeat;
        addRows(membership.rows);
        if (heartbeat !== undefined) {
            addRows(await measureRpc(heartbeat, { at: `${daemonCount} daemons` }));
        }
        addRows(await measureOwnership(daemonCount, { seed }));
    }
    for (const daemonCount of FLEET_DAEMON_COUNTS) {
        addRows(await measureFleet(daemonCount, { seed }));
    }
    for (const serviceCount of SERVICE_COUNTS) {
        const pressureHeartbeat = buildPressureHeartbeat(serviceCount, heartbeat?.beats ?? []);
        if (pressureHeartbeat !== undefined) {
            addRows(
                await measureRpc(pressureHeartbeat, {
                    at: `${serviceCount} services under pressure, 16 daemons named`,
                }),
            );
        }
    }
    for (const backendServerCount of BACKEND_SERVER_COUNTS) {
        const serviceCount = Math.min(backendServerCount, MAX_SERVICE_COUNT);
        addRows(
            await measureRouting({ backendServerCount, serviceCount, classesPerService: CLASSES_PER_SERVICE, seed }),
        );
    }
    for (const serviceCount of SERVICE_COUNTS.filter(count => count !== MAX_SERVICE_COUNT)) {
        const size = { backendServerCount: MAX_BACKEND_SERVER_COUNT, serviceCount };
        addRows(await measureRouting({ ...size, classesPerService: CLASSES_PER_SERVICE, seed }));
    }
    for (const serviceCount of SERVICE_COUNTS) {
        addRows(await measureConfiguration(serviceCount * CLASSES_PER_SERVICE, { serviceCount }));
    }
    for (const keyCount of KEY_COUNTS) {
        addRows(await measureIdempotencyKeys(keyCount));
    }
    addRows(measureState());
    return writeMeasurement("control-cost", {
        title: "Cost of the control work",
        conditions: [
            ...conditions,
            `load average at the end: ${loadavg().map(load => load.toFixed(1)).join(" ")}`,
            `seed: ${seed}; one run, ${((performance.now() - startMs) / 1000).toFixed(0)} s in all`,
        ],
        header: ["part", "at", "quantity", "value"],
        rows: rows.map(({ part, at, quantity, value }) => [part, at, quantity, value]),
        notes: [
            "luznik: real daemons on loopback, with a module loaded into each that counts the bytes of its sockets; the "
            + "bytes are those above TCP, without TCP and IP headers. Its own work is part of the processor time and "
            + "of the resident memory. The processor time comes in steps of 10 ms a daemon.",
            "membership, ownership: the real reducers of all daemons of a fleet in one process, against each other, in "
            + "simulated time, without a network and without a fault; the figure of one daemon is the mean. HTTP, HMAC "
            + "and schema work is not in these figures, except in those over fleet/rpc.",
            "ownership: each daemon is given all members. shares under real views: the root reducers, where members come "
            + "from the heartbeats of the model only; heartbeats, promises and appends arrive at once.",
            "heartbeats over fleet/rpc: both ends in one process. A daemon is the client of 3 and on average the server "
            + "of 3 calls a second, so its work is that of both ends of 3 calls.",
            "routing: the VM list comes from an HTTP server in the same process that sends a fixed text, so its work is "
            + "part of the figure. Heap of requests: the routing state only, without sockets and buffers.",
            "Processor time is that of the whole process, with garbage collection and compilation, on a shared machine.",
        ],
    });
};
