import { formatError, MarigoldstallError } from "@marigoldstall/core.error";
import { expect } from "chai";

describe("MarigoldstallError", () => {
    describe("formatError", () => {
        it("prints code, message, step, peer and hint, so that an operator needs no other source", () => {
            const error = new MarigoldstallError({
                code: "LOG_UNAVAILABLE",
                message: "the log service did not answer",
                step: "append record",
                peer: "127.0.0.1:9000",
                hint: "check that the log service is running",
            });
            expect(formatError(error)).to.equal(
                "ERR_MARIGOLDSTALL_LOG_UNAVAILABLE the log service did not answer\n"
                    + "  while: append record (127.0.0.1:9000)\n"
                    + "  hint: check that the log service is running",
            );
        });

        it("omits peer and hint when they are absent", () => {
            const error = new MarigoldstallError({ code: "STOPPED", message: "stopped", step: "serve" });
            expect(formatError(error)).to.equal("ERR_MARIGOLDSTALL_STOPPED stopped\n  while: serve");
        });
    });
});
