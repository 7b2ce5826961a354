import { createMembershipState, reduceMembership } from "@marigoldstall/fleet.membership";
import type { Heartbeat } from "@marigoldstall/fleet.membership";
import { loadavg } from "node:os";
import type { BenchOptions } from "./bench-options.js";
import type { CostRow } from "./cost-row.js";
import { describeConditions } from "./describe-conditions.js";
import { fleetMember } from "./fleet-member.js";
import { measureConfiguration } from "./measure-configuration.js";
import { measureFleet } from "./measure-fleet.js";
import { measureIdleSite } from "./measure-idle-site.js";
import { measureKeys } from "./measure-keys.js";
import { measureMembership } from "./measure-membership.js";
import { measureOwnership } from "./measure-ownership.js";
import { measureRouting } from "./measure-routing.js";
import { measureRpc } from "./measure-rpc.js";
import { measureState } from "./measure-state.js";
import { writeMeasurement } from "./write-measurement.js";

const DAEMONS = [13, 50, 200, 400];
const FLEETS = [13, 50, 200];
const BACKEND_SERVERS = [10, 100, 500, 1000, 2200];
const SERVICES = [4, 16, 64];
const KEYS = [1_000, 10_000, 100_000];
const CLASSES_PER_SERVICE = 10;
const ALL_SERVICES = 64;
const ALL_BACKEND_SERVERS = 2200;

/** Heartbeat of a daemon on which this many services are under pressure. */
const pressedHeartbeat = (services: number, beats: Heartbeat["beats"]): Heartbeat | undefined => {
    const pressure = Array.from({ length: services }, (unused, index) => (
        { service: `service-${String(index).padStart(2, "0")}`, level: 0.5 }
    ));
    const state = createMembershipState({ self: fleetMember(0), atMs: 0 });
    const measured = reduceMembership(state, { type: "pressure-measured", atMs: 1, pressure }).state;
    const effect = reduceMembership(measured, {
        type: "heartbeat-received",
        atMs: 1,
        rpcId: "1",
        heartbeat: {
            sender: fleetMember(1),
            stopping: false,
            configurationVersion: 1,
            pressure: [],
            evidence: [],
            beats,
        },
    }).effects.find(answer => answer.type === "answer-heartbeat");
    return effect?.type === "answer-heartbeat" ? effect.heartbeat : undefined;
};

/** Processor time, bytes and memory of the control work against the sizes that they may grow with. */
export const controlCost = async (opts: BenchOptions): Promise<string> => {
    const conditions = describeConditions({ ...opts, seeds: opts.seeds.slice(0, 1) }).slice(0, -1);
    const seed = opts.seeds[0] ?? 1;
    const rows: CostRow[] = [];
    const startMs = performance.now();
    const add = (added: readonly CostRow[]): void => {
        rows.push(...added);
        for (const row of added) {
            opts.print(`${row.part} | ${row.at} | ${row.quantity} | ${row.value}`);
        }
    };
    add(await measureIdleSite({ seed }));
    let heartbeat: Heartbeat | undefined;
    for (const daemons of DAEMONS) {
        const membership = await measureMembership(daemons, { seed });
        heartbeat = membership.heartbeat;
        add(membership.rows);
        if (heartbeat !== undefined) {
            add(await measureRpc(heartbeat, { at: `${daemons} daemons` }));
        }
        add(await measureOwnership(daemons, { seed }));
    }
    for (const daemons of FLEETS) {
        add(await measureFleet(daemons, { seed }));
    }
    for (const services of SERVICES) {
        const pressed = pressedHeartbeat(services, heartbeat?.beats ?? []);
        if (pressed !== undefined) {
            add(await measureRpc(pressed, { at: `${services} services under pressure, 16 daemons named` }));
        }
    }
    for (const backendServers of BACKEND_SERVERS) {
        const services = Math.min(backendServers, ALL_SERVICES);
        add(await measureRouting({ backendServers, services, classesPerService: CLASSES_PER_SERVICE, seed }));
    }
    for (const services of SERVICES.filter(count => count !== ALL_SERVICES)) {
        const size = { backendServers: ALL_BACKEND_SERVERS, services };
        add(await measureRouting({ ...size, classesPerService: CLASSES_PER_SERVICE, seed }));
    }
    for (const services of SERVICES) {
        add(await measureConfiguration(services * CLASSES_PER_SERVICE, { services }));
    }
    for (const keys of KEYS) {
        add(await measureKeys(keys));
    }
    add(measureState());
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
