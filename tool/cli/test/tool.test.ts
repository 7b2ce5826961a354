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
const CLASS_REPORT = {
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
        it("generates the help of each command from its definition", async () => {
            for (const command of COMMANDS) {
                const { exitCode, stdout } = await fixture.run(...command.name.split(" "), "--help");
                expect(exitCode).to.equal(0);
                for (const part of [command.help, ...command.options.map(option => option.flags)]) {
                    expect(stdout.replace(/\s+/g, " ")).to.include(part);
                }
            }
        });

        const invalidCalls: readonly (readonly string[])[] = [
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
        for (const args of invalidCalls) {
            it(`exits with 2 and an error with a hint for ${JSON.stringify(args.join(" "))}`, async () => {
                const { exitCode, stderr } = await fixture.run(...args);
                expect(exitCode).to.equal(2);
                expect(stderr).to.match(/^ERR_MARIGOLDSTALL_[A-Z_]+ [^]+hint: /);
                expect(stderr).not.to.match(CONTROL_CHARACTERS);
            });
        }

        it("prints one JSON document for every command, including failed ones", async () => {
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
                const { stdout } = await fixture.run(...call.split(" "), "--json");
                expect(() => JSON.parse(stdout) as unknown, call).not.to.throw();
            }
        });
    });

    describe("targets publish", () => {
        it("publishes, waits until all live VMs have the version, and reports progress per VM", async () => {
            const { exitCode, stdout, stderr } = await fixture.run("targets", "publish", "t.yaml", "--wait");
            expect(exitCode).to.equal(0);
            expect(stdout).to.include("accepted: version 1 by Ana Novak (1-id1)");
            expect(stdout).to.include("in force at all 2 entry VMs");
            expect(stderr).to.match(/publish id 1-id1\nentry-1: version 1 in force after \d+ ms\nentry-2: version 1/);
        });

        it("exits with 6 and names the VM where the version is not in force before the timeout", async () => {
            fixture.statuses.set("entry-2", { configurationVersion: 0 });
            const { exitCode, stderr } = await fixture.run(
                "targets",
                "publish",
                "t.yaml",
                "--wait",
                "--wait-timeout-ms",
                "400",
            );
            expect(exitCode).to.equal(6);
            expect(stderr).to.include("accepted, but not yet in force at entry-2");
        });

        it("exits with 3 and shows the accepted version after another operator published", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            fixture.writeSettings("Bor");
            const { exitCode, stderr } = await fixture.run("targets", "publish", "t2.yaml", "--if-version", "0");
            expect(exitCode).to.equal(3);
            expect(stderr).to.include("version 1 by Ana Novak");
        });

        it("resolves a lost append response without publishing twice", async () => {
            fixture.log.setFaults({ loseAppendAnswers: 1 });
            expect((await fixture.run("targets", "publish", "t.yaml")).exitCode).to.equal(0);
            expect(fixture.log.records("configuration")).to.have.lengthOf(1);
        });

        it("exits with 4 and a publish id for --resume when the outcome is unknown", async () => {
            fixture.log.setFaults({ dropAppends: 3 });
            const { exitCode, stderr } = await fixture.run("targets", "publish", "t.yaml");
            expect(exitCode).to.equal(4);
            expect(stderr).to.include("run: marigoldstall targets publish t.yaml --resume 1-id1");
            expect((await fixture.run("targets", "publish", "t.yaml", "--resume", "1-id1")).exitCode).to.equal(0);
            expect((await fixture.run("targets", "publish", "t.yaml", "--resume", "1-id1")).exitCode).to.equal(0);
            expect(fixture.log.records("configuration")).to.have.lengthOf(1);
            expect((await fixture.run("targets", "publish", "t2.yaml", "--resume", "1-id1")).stderr).to.include(
                "PUBLISH_DIFFERS",
            );
        });

        it("exits with 5 and appends nothing while the log is down", async () => {
            fixture.log.setFaults({ outage: "refuse" });
            const { exitCode, stderr } = await fixture.run("targets", "publish", "t.yaml");
            expect(exitCode).to.equal(5);
            expect(stderr).to.include("ERR_MARIGOLDSTALL_PLATFORM_UNAVAILABLE").and.to.include("hint:");
        });

        it("shows the changes in a dry run and appends nothing", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            const { exitCode, stdout } = await fixture.run("targets", "publish", "t2.yaml", "--dry-run");
            expect(exitCode).to.equal(0);
            expect(stdout).to.include("~ class statusdesk/status-check lateness.withinMs: 250 -> 300");
            expect(fixture.log.records("configuration")).to.have.lengthOf(1);
        });

        it("compares with the version of the daemons when the log has removed all records", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            const targets = readTargets(TARGETS, { file: "t.yaml" })._unsafeUnwrap();
            const known = { version: 1, offset: 0, publishId: "1-id1", author: "Ana", digest: "d", targets };
            fixture.configurations.set("entry-2", known);
            fixture.log.setFaults({ cutBelowOffset: 1 });
            expect((await fixture.run("targets", "diff", "t2.yaml")).stdout).to.include("read from the daemons");
            expect((await fixture.run("targets", "publish", "zilina.yaml")).exitCode).to.equal(2);
            const { exitCode, stdout, stderr } = await fixture.run("targets", "publish", "t2.yaml");
            expect(exitCode).to.equal(0);
            expect(stderr).to.include("version numbers restart at 2");
            expect(stdout).to.include("accepted: version 2");
        });

        it("rejects the targets of another site without --allow-site-change", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            expect((await fixture.run("targets", "publish", "zilina.yaml")).exitCode).to.equal(2);
            expect((await fixture.run("targets", "publish", "zilina.yaml", "--allow-site-change")).exitCode).to.equal(
                0,
            );
        });
    });

    describe("targets show and history", () => {
        it("prints the newest version as a file that can be published again", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            const { stdout } = await fixture.run("targets", "show");
            fixture.files.set("shown.yaml", stdout);
            expect((await fixture.run("targets", "diff", "shown.yaml")).stdout).to.include("no change");
        });

        it("lists accepted and rejected records, escaping control characters from other writers", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            const response = await fetch(`http://${fixture.log.address}/streams/configuration/records`, {
                method: "POST",
                body: JSON.stringify({
                    publishId: "1-x",
                    version: 1,
                    parentVersion: 0,
                    author: "\u001b[2J\nforged\u202e",
                    targets: (fixture.log.records("configuration")[0]?.value as { targets: unknown; }).targets,
                }),
            });
            expect(response.status).to.equal(201);
            const { stdout } = await fixture.run("targets", "history");
            expect(stdout.trimEnd().split("\n")).to.have.lengthOf(2);
            expect(stdout).to.include("rejected   1-x by \\u{001b}[2J\\u{000a}forged\\u{202e}");
            expect((await fixture.run("targets", "history", "--json")).stdout).not.to.match(CONTROL_CHARACTERS);
        });
    });

    it("shows and lists the version of a snapshot after retention removed the publish record", async () => {
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
        expect((await fixture.run("targets", "show")).stdout).to.include(
            "# version 1 by Ana (1-id1), read from the log",
        );
        expect((await fixture.run("targets", "history")).stdout).to.include("snapshot   version 1 by Ana");
        expect((await fixture.run("targets", "publish", "t2.yaml")).stdout).to.include("accepted: version 2");
    });

    describe("status", () => {
        it("sums the reports of all daemons and exits with 0 when each class meets its targets", async () => {
            fixture.statuses.set("entry-1", { classes: [CLASS_REPORT] });
            fixture.statuses.set("entry-2", { classes: [{ ...CLASS_REPORT, late: 15 }] });
            const { exitCode, stdout } = await fixture.run("status");
            expect(stdout).to.include("statusdesk/status-check: 99.00 % within 250 ms");
            expect(stdout).to.include("6 probes in the last second, budget 20 per second");
            expect(exitCode).to.equal(0);
        });

        it("exits with 6 and the reasons when a class, a VM or a version is degraded, and lists stale information", async () => {
            await fixture.run("targets", "publish", "t.yaml");
            await fixture.run("targets", "publish", "t2.yaml");
            fixture.statuses.set("entry-1", {
                classes: [{ ...CLASS_REPORT, late: 20, rejected: 50 }],
                stale: ["VM list\u0007"],
            });
            await fixture.stopDaemon(1);
            const { exitCode, stdout } = await fixture.run("status");
            expect(exitCode).to.equal(6);
            for (
                const part of [
                    "98.00 % of responses within 250 ms, target 99 %",
                    "4.76 % of requests rejected, target at most 0.5 %",
                    "entry-1: version 1 in force, newest is 2",
                    "entry-2: status unavailable, ERR_MARIGOLDSTALL_RPC_UNREACHABLE",
                    "entry-1: VM list\\u{0007}",
                ]
            ) {
                expect(stdout).to.include(part);
            }
        });

        it("counts the daemons that consider a backend server unusable, and reports shares without an owner", async () => {
            const server = { service: "arhiv", address: "127.0.0.1:1", vmId: "arhiv-3", condition: "ejected" };
            fixture.statuses.set("entry-1", { backendServers: [server], sharesOwned: 30 });
            const { exitCode, stdout } = await fixture.run("status");
            expect(exitCode).to.equal(6);
            expect(stdout).to.include("arhiv arhiv-3 (127.0.0.1:1): ejected for 1 of 2 entry VMs");
            expect(stdout).to.include("62 of 64 shares have an owner");
        });

        it("exits with 5 when no daemon responds, and when the VM list does not respond either", async () => {
            await Promise.all([fixture.stopDaemon(0), fixture.stopDaemon(1)]);
            expect((await fixture.run("status")).exitCode).to.equal(5);
            await fixture.vmList.close();
            expect((await fixture.run("status")).exitCode).to.equal(5);
        });
    });

    describe("explain", () => {
        it("merges the decisions of all daemons in chronological order, escaping text from callers", async () => {
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
            const { exitCode, stdout } = await fixture.run("explain", "r1");
            expect(exitCode).to.equal(0);
            expect(stdout.trimEnd().split("\n").map(line => line.split(" ").slice(1, 4).join(" "))).to.deep.equal([
                "entry-1 routing select",
                "entry-2 routing select",
                "entry-1 routing select",
            ]);
            expect(
                stdout.indexOf("first") < stdout.indexOf("second")
                    && stdout.indexOf("second") < stdout.indexOf("third"),
            ).to
                .equal(true);
            expect(stdout).not.to.match(CONTROL_CHARACTERS);
        });
    });
});
