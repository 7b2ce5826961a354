import { digestTargets, readTargets } from "@marigoldstall/config.targets";
import { COMMANDS } from "@marigoldstall/tool.cli";
import { expect } from "chai";
import { ToolFixture } from "./tool-fixture.js";

const TARGETS = `site: luznik
measuring: { probesPerSecond: 20 }
classes:
  - name: status-check
    service: statusdesk
    urgency: urgent
    repeatable: true
    lateness: { percentile: 99, withinMs: 250 }
    turnedAwayAtMostPercent: 0.5
    match: [{ methods: [GET], pathPrefix: /status }]
`;
const REPORT = {
    service: "statusdesk",
    className: "status-check",
    lateness: { percentile: 99, withinMs: 250 },
    turnedAwayAtMostPercent: 0.5,
    arrived: 1000,
    completed: 1000,
    late: 5,
    rejected: 0,
    unknown: 0,
    atTargetPercentileMs: 120,
};
const CONTROL_CHARACTERS = /[\u0000-\u0009\u000b-\u001f\u007f-\u009f\u202e]/;

describe("marigoldstall", () => {
    let fixture: ToolFixture;

    beforeEach(async () => {
        fixture = await ToolFixture.start();
        fixture.files.set("t.yaml", TARGETS);
        fixture.files.set("bad.yaml", TARGETS.replace("urgent", "soon"));
        fixture.files.set("t2.yaml", TARGETS.replace("250", "300"));
        fixture.files.set("zilina.yaml", TARGETS.replace("luznik", "zilina"));
    });

    afterEach(async () => {
        await fixture.stop();
    });

    describe("usage", () => {
        it("makes the help of each command from its definition", async () => {
            for (const command of COMMANDS) {
                const { code, out } = await fixture.run(...command.name.split(" "), "--help");
                expect(code).to.equal(0);
                for (const part of [command.help, ...command.options.map(option => option.flags)]) {
                    expect(out.replace(/\s+/g, " ")).to.include(part);
                }
            }
        });

        const misuses: readonly (readonly string[])[] = [
            ["targets", "publish"],
            ["targets", "publish", "t.yaml", "--if-version", "x"],
            ["targets", "publish", "t.yaml", "--resume", "no-id"],
            ["targets", "publish", "t.yaml", "--resume", "1-u", "--dry-run"],
            ["targets", "publish", "t.yaml", "--wait-timeout-ms", "5"],
            ["targets", "publish", "t.yaml", "--no-such-option"],
            ["targets", "validate", "bad.yaml"],
            ["targets", "validate", "none.yaml"],
            ["status", "--settings", "none.yaml"],
            ["explain", "\u001b[2J"],
            ["no-such-command\u001b"],
        ];
        for (const args of misuses) {
            it(`ends with 2 and a message for ${JSON.stringify(args.join(" "))}`, async () => {
                const { code, err } = await fixture.run(...args);
                expect(code).to.equal(2);
                expect(err).to.match(/^ERR_MARIGOLDSTALL_[A-Z_]+ [^]+hint: /);
                expect(err).not.to.match(CONTROL_CHARACTERS);
            });
        }

        it("prints one JSON document for every command, also when it fails", async () => {
            const calls = [
                "targets validate t.yaml",
                "targets validate bad.yaml",
                "targets diff t.yaml",
                "targets show",
                "targets publish t.yaml --wait",
                "targets history",
                "status",
                "explain r1",
                "explain \u001b",
            ];
            for (const call of calls) {
                const { out } = await fixture.run(...call.split(" "), "--json");
                expect(() => JSON.parse(out) as unknown, call).not.to.throw();
            }
        });
    });

    describe("targets publish", () => {
        it("publishes, waits until all live VMs have the version, and reports progress per VM", async () => {
            const { code, out, err } = await fixture.run("targets", "publish", "t.yaml", "--wait");
            expect(code).to.equal(0);
            expect(out).to.include("accepted: version 1 by Ana Novak (1-id1)");
            expect(out).to.include("in force at all 2 entry VMs");
            expect(err).to.match(/publish id 1-id1\nentry-1: version 1 in force after \d+ ms\nentry-2: version 1/);
        });

        it("ends with 6 and names the VM that lacks the version in time", async () => {
            fixture.statuses.set("entry-2", { configurationVersion: 0 });
            const { code, err } = await fixture.run(
                "targets",
                "publish",
                "t.yaml",
                "--wait",
                "--wait-timeout-ms",
                "400",
            );
            expect(code).to.equal(6);
            expect(err).to.include("accepted, but not yet in force at entry-2");
        });

        it("ends with 3 and shows the winner after a publish of another operator", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            fixture.writeSettings("Bor");
            const { code, err } = await fixture.run("targets", "publish", "t2.yaml", "--if-version", "0");
            expect(code).to.equal(3);
            expect(err).to.include("version 1 by Ana Novak");
        });

        it("settles a lost answer without publishing twice", async () => {
            fixture.log.setFaults({ loseAppendAnswers: 1 });
            expect((await fixture.run("targets", "publish", "t.yaml")).code).to.equal(0);
            expect(fixture.log.records("configuration")).to.have.lengthOf(1);
        });

        it("ends with 4 and a publish id that --resume resolves, when the outcome is unknown", async () => {
            fixture.log.setFaults({ dropAppends: 3 });
            const { code, err } = await fixture.run("targets", "publish", "t.yaml");
            expect(code).to.equal(4);
            expect(err).to.include("run: marigoldstall targets publish t.yaml --resume 1-id1");
            expect((await fixture.run("targets", "publish", "t.yaml", "--resume", "1-id1")).code).to.equal(0);
            expect((await fixture.run("targets", "publish", "t.yaml", "--resume", "1-id1")).code).to.equal(0);
            expect(fixture.log.records("configuration")).to.have.lengthOf(1);
            expect((await fixture.run("targets", "publish", "t2.yaml", "--resume", "1-id1")).err).to.include(
                "PUBLISH_DIFFERS",
            );
        });

        it("ends with 5 and appends nothing while the log is down", async () => {
            fixture.log.setFaults({ outage: "refuse" });
            const { code, err } = await fixture.run("targets", "publish", "t.yaml");
            expect(code).to.equal(5);
            expect(err).to.include("ERR_MARIGOLDSTALL_PLATFORM_UNAVAILABLE").and.to.include("hint:");
        });

        it("shows the changes of a dry run and appends nothing", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            const { code, out } = await fixture.run("targets", "publish", "t2.yaml", "--dry-run");
            expect(code).to.equal(0);
            expect(out).to.include("~ class statusdesk/status-check lateness.withinMs: 250 -> 300");
            expect(fixture.log.records("configuration")).to.have.lengthOf(1);
        });

        it("compares with the daemons' version when the log has removed all records", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            const targets = readTargets(TARGETS, { file: "t.yaml" })._unsafeUnwrap();
            const known = { version: 1, offset: 0, publishId: "1-id1", author: "Ana", digest: "d", targets };
            fixture.configurations.set("entry-2", known);
            fixture.log.setFaults({ cutBelowOffset: 1 });
            expect((await fixture.run("targets", "diff", "t2.yaml")).out).to.include("read from the daemons");
            expect((await fixture.run("targets", "publish", "zilina.yaml")).code).to.equal(2);
            const { code, out, err } = await fixture.run("targets", "publish", "t2.yaml");
            expect(code).to.equal(0);
            expect(err).to.include("a new series starts at version 2");
            expect(out).to.include("accepted: version 2");
        });

        it("refuses the targets of another site, unless it is told otherwise", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            expect((await fixture.run("targets", "publish", "zilina.yaml")).code).to.equal(2);
            expect((await fixture.run("targets", "publish", "zilina.yaml", "--allow-site-change")).code).to.equal(0);
        });
    });

    describe("targets show and history", () => {
        it("show the newest version as a file that can be published again", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            const { out } = await fixture.run("targets", "show");
            fixture.files.set("shown.yaml", out);
            expect((await fixture.run("targets", "diff", "shown.yaml")).out).to.include("no change");
        });

        it("list accepted and rejected records, with control characters of other writers escaped", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            const client = await fetch(`http://${fixture.log.address}/streams/configuration/records`, {
                method: "POST",
                body: JSON.stringify({
                    publishId: "1-x",
                    version: 1,
                    parentVersion: 0,
                    author: "\u001b[2J\nforged\u202e",
                    targets: (fixture.log.records("configuration")[0]?.value as { targets: unknown; }).targets,
                }),
            });
            expect(client.status).to.equal(201);
            const { out } = await fixture.run("targets", "history");
            expect(out.trimEnd().split("\n")).to.have.lengthOf(2);
            expect(out).to.include("rejected   1-x by \\u{001b}[2J\\u{000a}forged\\u{202e}");
            expect((await fixture.run("targets", "history", "--json")).out).not.to.match(CONTROL_CHARACTERS);
        });
    });

    it("shows and lists the version of a snapshot after retention removed the version's own record", async () => {
        await fixture.run("targets", "publish", "t.yaml");
        const targets = readTargets(TARGETS, { file: "t.yaml" })._unsafeUnwrap();
        const state = {
            version: 1,
            offset: 0,
            publishId: "1-id1",
            author: "Ana",
            digest: digestTargets(targets),
            targets,
        };
        await fetch(`http://${fixture.log.address}/streams/configuration/records`, {
            method: "POST",
            body: JSON.stringify({ snapshot: { throughOffset: 0, state } }),
        });
        fixture.log.setFaults({ cutBelowOffset: 1 });
        expect((await fixture.run("targets", "show")).out).to.include("# version 1 by Ana (1-id1), read from the log");
        expect((await fixture.run("targets", "history")).out).to.include("snapshot   version 1 by Ana");
        expect((await fixture.run("targets", "publish", "t2.yaml")).out).to.include("accepted: version 2");
    });

    describe("status", () => {
        it("adds up all daemons and ends with 0 when each class meets its target", async () => {
            fixture.statuses.set("entry-1", { classes: [REPORT] });
            fixture.statuses.set("entry-2", { classes: [{ ...REPORT, late: 15 }] });
            const { code, out } = await fixture.run("status");
            expect(out).to.include("statusdesk/status-check: 99.00 % within 250 ms");
            expect(out).to.include("6 probes in the last second, budget 20 per second");
            expect(code).to.equal(0);
        });

        it("ends with 6 and the reasons when a class, a VM or a version falls short, and names stale information", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            await fixture.run("targets", "publish", "t2.yaml");
            fixture.statuses.set("entry-1", {
                classes: [{ ...REPORT, late: 20, rejected: 50 }],
                stale: ["VM list\u0007"],
            });
            await fixture.stopDaemon(1);
            const { code, out } = await fixture.run("status");
            expect(code).to.equal(6);
            for (
                const part of [
                    "98.00 % of the responses came within 250 ms, target 99 %",
                    "4.76 % were turned away, target 0.5 %",
                    "entry-1: version 1 in force, newest is 2",
                    "entry-2: no answer, ERR_MARIGOLDSTALL_RPC_UNREACHABLE",
                    "entry-1: VM list\\u{0007}",
                ]
            ) {
                expect(out).to.include(part);
            }
        });

        it("counts the daemons that find a backend server unusable, and the shares without an owner", async () => {
            const server = { service: "arhiv", address: "127.0.0.1:1", vmId: "arhiv-3", condition: "ejected" };
            fixture.statuses.set("entry-1", { backendServers: [server], sharesOwned: 30 });
            const { code, out } = await fixture.run("status");
            expect(code).to.equal(6);
            expect(out).to.include("arhiv arhiv-3 (127.0.0.1:1): ejected for 1 of 2 entry VMs");
            expect(out).to.include("62 of 64 shares have an owner");
        });

        it("ends with 5 when neither the VM list nor any daemon answers", async () => {
            await Promise.all([fixture.stopDaemon(0), fixture.stopDaemon(1)]);
            expect((await fixture.run("status")).code).to.equal(5);
            await fixture.vmList.close();
            expect((await fixture.run("status")).code).to.equal(5);
        });
    });

    describe("explain", () => {
        it("merges the decisions of all daemons in time order, with a caller's text escaped", async () => {
            const decision = {
                kind: "select",
                requestId: "r1",
                service: "s",
                className: undefined,
                candidates: ["a", "b"],
                choice: "a",
                reason: "x",
            };
            const entry = (wallMs: number, reason: string) => ({
                concern: "routing",
                wallMs,
                decision: { ...decision, reason },
            });
            fixture.decisions.set("entry-1", [entry(3000, "third"), entry(1000, "first")]);
            fixture.decisions.set("entry-2", [entry(2000, "\u001b]0;second\u0007\nforged")]);
            const { code, out } = await fixture.run("explain", "r1");
            expect(code).to.equal(0);
            expect(out.trimEnd().split("\n").map(line => line.split(" ").slice(1, 4).join(" "))).to.deep.equal([
                "entry-1 routing select",
                "entry-2 routing select",
                "entry-1 routing select",
            ]);
            expect(out.indexOf("first") < out.indexOf("second") && out.indexOf("second") < out.indexOf("third")).to
                .equal(true);
            expect(out).not.to.match(CONTROL_CHARACTERS);
        });
    });
});
