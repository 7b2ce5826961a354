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
    // A forwarded deadline of the caller would contradict the daemon's own, and forwarded framing headers would
    // describe the wrong connection.
    it("forwards end-to-end headers with their case unchanged and drops hop-by-hop and excluded headers", () => {
        const headers = endToEndHeaders(RAW_HEADERS, {
            connection: "keep-alive, X-Hop",
            excluded: new Set(["x-deadline-ms"]),
        });
        expect(headers).to.deep.equal(["Host", "parks.example", "X-Request-Id", "abc"]);
    });

    // Node.js reads these names and refuses to write them, so that a response with one was never relayed.
    it("removes whitespace before the colon and drops headers without a valid name", () => {
        const rawHeaders = [
            "X-Cache ",
            "miss",
            "X-Deadline-Ms ",
            "5",
            "Transfer-Encoding ",
            "chunked",
            "X B",
            "2",
            "",
            "3",
        ];
        const headers = endToEndHeaders([...rawHeaders, "X-A", "1"], {
            connection: undefined,
            excluded: new Set(["x-deadline-ms"]),
        });
        expect(headers).to.deep.equal(["X-Cache", "miss", "X-A", "1"]);
    });

    it("drops hop-by-hop headers that the message does not list in Connection", () => {
        const headers = endToEndHeaders(["Keep-Alive", "timeout=4", "X-A", "1"], {
            connection: undefined,
            excluded: new Set(),
        });
        expect(headers).to.deep.equal(["X-A", "1"]);
    });
});
