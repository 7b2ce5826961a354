import { endToEndHeaders } from "@marigoldstall/daemon.connections";
import { expect } from "chai";

const RAW_HEADERS = [
    "Host",
    "parks.example",
    "X-Request-Id",
    "abc",
    "X-Deadline-Ms",
    "1200",
    "Connection",
    "keep-alive, X-Hop",
    "X-Hop",
    "1",
    "Transfer-Encoding",
    "chunked",
];

describe("endToEndHeaders", () => {
    // Guards against a caller's deadline beside the daemon's own, and against framing of one connection on another.
    it("passes end-to-end headers on in their spelling, without those of the connection and the daemon's own", () => {
        const headers = endToEndHeaders(RAW_HEADERS, {
            connection: "keep-alive, X-Hop",
            own: new Set(["x-deadline-ms"]),
        });
        expect(headers).to.deep.equal(["Host", "parks.example", "X-Request-Id", "abc"]);
    });

    it("drops the headers of the connection where the message does not name any", () => {
        const headers = endToEndHeaders(["Keep-Alive", "timeout=4", "X-A", "1"], {
            connection: undefined,
            own: new Set(),
        });
        expect(headers).to.deep.equal(["X-A", "1"]);
    });
});
