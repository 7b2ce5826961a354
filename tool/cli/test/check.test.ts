import { expect } from "chai";
import { ToolFixture } from "./tool-fixture.js";

const KEY = "key-0123456789";
const configure = (fields: object = {}): string =>
    JSON.stringify({
        version: "0000000a",
        limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000, headerTimeout: "3s", idleTimeout: "15s" },
        listeners: [{
            host: "parks.example",
            rules: [{
                name: "read",
                routeType: "safe",
                targetLatency: "400ms",
                priority: 2,
                match: { pathPrefix: "/read/" },
                action: { service: "one", timeout: "1.2s", maxAttempts: 2 },
            }],
        }],
        clusters: [{ name: "one", healthPath: "/health", maxConns: 220 }],
        tenants: [{ name: "gardens", apiKeys: [KEY] }],
        ...fields,
    });

describe("marigoldstall check", () => {
    let fixture: ToolFixture;

    beforeEach(async () => {
        fixture = await ToolFixture.start();
        // The command needs no settings and no connection.
        fixture.files.clear();
        fixture.files.set("valid.json", configure());
        fixture.files.set("next.json", configure({ version: "0000000b", tenants: [{ name: "gardens", apiKeys: [] }] }));
        fixture.files.set("refused.json", configure({ limits: [KEY] }));
        fixture.files.set("cut.json", configure().slice(0, -2));
    });

    afterEach(async () => {
        await fixture.stop();
    });

    it("exits with 0 for a valid configuration", async () => {
        expect(await fixture.run("check", "valid.json")).to.deep.equal({
            exitCode: 0,
            stdout: "valid.json is valid\n",
            stderr: "",
        });
    });

    it("exits with 0 when the only findings are differences", async () => {
        fixture.files.set(
            "new-key.json",
            configure({ version: "0000000b", tenants: [{ name: "gardens", apiKeys: ["2"] }] }),
        );
        const { exitCode, stdout } = await fixture.run("check", "new-key.json", "--against", "valid.json");
        expect(exitCode).to.equal(0);
        expect(stdout).to.equal(
            "difference version: version 0000000a -> 0000000b (version-raised)\n"
                + "difference tenants[0]: tenant gardens: 1 new keys, 1 revoked (keys-changed)\n"
                + "new-key.json is valid\n",
        );
    });

    it("exits with 1 and prints each finding with its path", async () => {
        const { exitCode, stdout } = await fixture.run("check", "next.json");
        expect(exitCode).to.equal(1);
        expect(stdout).to.equal(
            "warning tenants[0].apiKeys: tenant gardens has no key, so no request can be its own (tenant-without-keys)\n",
        );
        expect((await fixture.run("check", "refused.json")).stdout).to.match(/^error limits: .*\(refused\)\n$/);
        expect((await fixture.run("check", "cut.json")).exitCode).to.equal(1);
    });

    it("exits with 2 when a file cannot be read", async () => {
        for (const args of [["none.json"], ["valid.json", "--against", "none.json"]]) {
            const { exitCode, stderr } = await fixture.run("check", ...args);
            expect(exitCode).to.equal(2);
            expect(stderr).to.include("ERR_MARIGOLDSTALL_FILE_UNREADABLE").and.to.include("none.json");
        }
    });

    it("prints the findings as JSON", async () => {
        const { exitCode, stdout } = await fixture.run("check", "next.json", "--against", "valid.json", "--json");
        expect(exitCode).to.equal(1);
        const { valid, findings } = JSON.parse(stdout) as {
            valid: boolean;
            findings: { code: string; path: string; }[];
        };
        expect(valid).to.equal(false);
        expect(findings.map(({ code, path }) => `${code} ${path}`)).to.include("keys-changed tenants[0]");
    });

    it("never prints a key", async () => {
        for (const file of fixture.files.keys()) {
            for (const opts of [[], ["--json"], ["--against", "valid.json"], ["--against", "refused.json"]]) {
                const { stdout, stderr } = await fixture.run("check", file, ...opts);
                expect(stdout + stderr).not.to.include(KEY);
            }
        }
    });

    it("has words for every kind of finding", async () => {
        const rule = { ...(JSON.parse(configure()) as { listeners: [{ rules: [object]; }]; }).listeners[0].rules[0] };
        fixture.files.set(
            "all.json",
            configure({
                version: "00000001",
                limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeout: "9s", idleTimeout: "1s" },
                listeners: ["a", "A"].map(host => ({
                    host,
                    rules: [
                        {
                            ...rule,
                            targetLatency: "9s",
                            match: { pathPrefix: "x" },
                            action: { timeout: "1s", maxAttempts: 0 },
                        },
                        {
                            ...rule,
                            action: { trafficSplit: [{ service: "no", weight: 0 }], timeout: "1s", maxAttempts: 1 },
                        },
                    ],
                })),
                clusters: [1, 2].map(coldPerS => ({
                    name: "two",
                    healthPath: "/",
                    maxConns: 1,
                    coldPerS: coldPerS - 1,
                })),
                tenants: [
                    { name: "a", apiKeys: [], ratePerS: 0.1 },
                    { name: "a", apiKeys: ["5"], burst: 1 },
                ],
            }),
        );
        const { stdout } = await fixture.run("check", "all.json", "--against", "valid.json", "--json");
        const { findings } = JSON.parse(stdout) as { findings: { code: string; }[]; };
        expect(new Set(findings.map(({ code }) => code)).size).to.be.at.least(20);
        const { stdout: lines } = await fixture.run("check", "all.json", "--against", "valid.json");
        expect(lines).not.to.include("undefined");
        // Without words of its own, a finding shows its details only.
        lines.trim().split("\n").forEach(line => {
            expect(line).to.match(/^(?:error|warning|difference) \S+: (?:\S+ ){2,}.*\([a-z-]+\)$/);
        });
    });
});
