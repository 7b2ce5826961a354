import { randomBytes } from "node:crypto";
import { Agent, request as httpRequest } from "node:http";

// Callers wait a little longer than their deadline, so that late answers are recorded too.
const PATIENCE_MS = 500;

/** A caller of one entry VM, with a connection that it keeps open. */
export class Caller {
    constructor({ entry, record }) {
        this.entry = entry;
        this.record = record;
        this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
    }

    /** Sends a request under an id of its own. The outcome has the status, or an error if the connection ended. */
    async send({ host, path, method = "GET", deadlineMs, body = "" }) {
        const id = randomBytes(8).toString("hex");
        const sentAtMs = performance.now();
        this.record(`caller sends ${method} ${path} as ${id} to ${this.entry.name}`);
        const outcome = await new Promise(resolve => {
            const request = httpRequest({
                ...this.entry.frontAddress,
                agent: this.agent,
                method,
                path,
                headers: { "Host": host, "X-Request-Id": id, "X-Deadline-Ms": String(deadlineMs) },
            }, response => {
                const chunks = [];
                response.on("data", chunk => chunks.push(chunk));
                response.on("error", error => resolve({ id, error: error.message, isReused: request.reusedSocket }));
                response.on("end", () => {
                    const { statusCode: status, headers } = response;
                    resolve({ id, status, headers, body: Buffer.concat(chunks).toString() });
                });
            });
            request.setTimeout(deadlineMs + PATIENCE_MS, () => {
                resolve({ id, error: "no answer, caller gave up", hasGivenUp: true });
                request.destroy();
            });
            request.on("error", error => resolve({ id, error: error.message, isReused: request.reusedSocket }));
            request.end(body);
        });
        const afterMs = Math.round(performance.now() - sentAtMs);
        this.record(`caller got ${outcome.status ?? outcome.error} for ${id} after ${afterMs} ms`);
        return { ...outcome, afterMs };
    }

    close() {
        this.agent.destroy();
    }
}
