import { InvalidRequestError, readJson, sendJson } from "@marigoldstall-private/http";
import * as Schema from "effect/Schema";
import type { IncomingMessage, ServerResponse } from "node:http";
import { BackendFaults } from "./backend-faults.js";
import type { BackendServer } from "./backend-server.js";
import { FaultSocket } from "./fault-socket.js";

const MAX_BODY_BYTES = 65_536;
const decodeFaults = Schema.decodeUnknownSync(BackendFaults, { onExcessProperty: "error" });
const decodeSilence = Schema.decodeUnknownSync(
    Schema.Struct({ direction: Schema.Literals(["in", "out", "both"]) }),
    { onExcessProperty: "error" },
);

type Action = (server: BackendServer, body: unknown, controlSocket: FaultSocket | undefined) => Promise<void> | void;

const ACTIONS: Readonly<Record<string, Action>> = {
    "POST /_faults": (server, body) => server.setFaults(decodeFaults(body)),
    "POST /_silence": (server, body, controlSocket) =>
        server.silence(decodeSilence(body).direction, { except: controlSocket }),
    "POST /_drain": server => server.drain(),
    "POST /_crash": server => server.crash(),
    "POST /_restart": server => server.restart(),
    "GET /_record": () => undefined,
};

/** Handles a control request to a backend server. Returns false when the method and path are not a control request. */
export const serveControl = async (
    server: BackendServer,
    opts: { readonly request: IncomingMessage; readonly response: ServerResponse; readonly path: string; },
): Promise<boolean> => {
    const action = ACTIONS[`${opts.request.method} ${opts.path}`];
    if (action === undefined) {
        return false;
    }
    try {
        const takesBody = opts.path === "/_faults" || opts.path === "/_silence";
        const body = takesBody ? await readJson(opts.request, { maxBytes: MAX_BODY_BYTES }) : undefined;
        await action(server, body, FaultSocket.fromStream(opts.response.socket));
        sendJson(opts.response, { status: 200, body: server.record() });
    }
    catch (error) {
        const status = error instanceof InvalidRequestError ? error.status : 400;
        sendJson(opts.response, { status, body: { error: String(error) } });
    }
    return true;
};
