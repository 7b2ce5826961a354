import { readDaemonSettings, readToolSettings } from "@marigoldstall/config.settings";
import { expect } from "chai";

const KEY = "0123456789abcdef0123456789abcdef";
const DAEMON = `vm: { id: entry-bezigrad-1, region: osrednja, availabilityZone: bezigrad }
listen: { caller: "127.0.0.1:7100", control: "127.0.0.1:7200", operator: "[::1]:7300" }
platform: { log: "127.0.0.1:7000", vmList: "127.0.0.1:7001", logRetentionMs: 3600000 }
security: { controlKey: "${KEY}" }
`;
const TOOL = `operator: { name: "Ana Novak" }
platform: { log: "127.0.0.1:7000", vmList: "127.0.0.1:7001" }
security: { controlKey: "${KEY}" }
`;

const listProblems = (text: string): string[] =>
    readDaemonSettings(text, { file: "d.yaml" }).match(
        () => [],
        error => error.problems.map(problem => `${problem.line} ${problem.key}: ${problem.message}`),
    );

describe("settings", () => {
    describe("readDaemonSettings", () => {
        it("applies defaults for limits and stop, and keeps explicit values", () => {
            const settings = readDaemonSettings(DAEMON + "limits:\n  headerBytes: 2048\n", { file: "d.yaml" })
                ._unsafeUnwrap();
            expect(settings.limits.headerBytes).to.equal(2048);
            expect(settings.limits.connectionsPerBackendServer).to.equal(12);
            expect(settings.stop.noticeMs).to.equal(5000);
            expect(settings.vm.availabilityZone).to.equal("bezigrad");
        });

        const cases: readonly (readonly [string, string, readonly string[]])[] = [
            ["an unknown key", DAEMON + "limit: {}", [
                "5 limit: unknown key, expected one of vm, listen, platform, security, limits, stop",
            ]],
            ["a duplicate key", DAEMON + "vm: 1", ["5 vm: duplicate key, expected each key once"]],
            ["a wrong type", DAEMON + "limits:\n  headerBytes: big", [
                "6 limits.headerBytes: expected a whole number from 1024 to 1048576 bytes, found \"big\"",
            ]],
            ["a number out of range", DAEMON + "limits:\n  requestsInFlight: 0", [
                "6 limits.requestsInFlight: expected a whole number from 1 to 1000000, found 0",
            ]],
            ["a host name in place of an IP address", DAEMON.replace("127.0.0.1:7000", "localhost:7000"), [
                "3 platform.log: expected an IP address and port such as 127.0.0.1:7000, found \"localhost:7000\"",
            ]],
            ["a port above 65535", DAEMON.replace("127.0.0.1:7001", "127.0.0.1:70000"), [
                "3 platform.vmList: expected an IP address and port such as 127.0.0.1:7000, found \"127.0.0.1:70000\"",
            ]],
            ["a missing key", DAEMON.replace(", region: osrednja", ""), [
                "1 vm.region: missing, expected a name of 1 to 63 lower-case letters, digits and inner hyphens",
            ]],
            ["a mapping without a value", DAEMON + "stop:", ["5 stop: expected a mapping, found nothing"]],
            ["two listeners with the same address", DAEMON.replace(":7200", ":7100"), [
                "2 listen.control: expected another address than listen.caller, found \"127.0.0.1:7100\"",
            ]],
        ];
        for (const [name, text, expected] of cases) {
            it(`reports line, key and expectation for ${name}`, () => {
                expect(listProblems(text)).to.deep.equal(expected);
            });
        }

        it("reports all problems of a file at once, not only the first", () => {
            const text = DAEMON.replace("127.0.0.1:7000", "x").replace("bezigrad }", "Bezigrad }") + "other: 1";
            expect(listProblems(text)).to.have.lengthOf(3);
        });

        it("never includes the control key in a message, because messages are logged", () => {
            const error = readDaemonSettings(DAEMON.replace(KEY, "short-secret"), { file: "d.yaml" })
                ._unsafeUnwrapErr();
            expect(error.message).to.include("security.controlKey");
            expect(error.message).not.to.include("short-secret");
        });

        it("returns an error for malformed YAML, empty files and exponential aliases instead of throwing", () => {
            const nestedAliases = ["a: &a [1,1,1,1,1,1,1,1,1]"];
            for (let level = 1; level < 9; level += 1) {
                const names = Array.from({ length: 9 }, () => `*${String.fromCharCode(96 + level)}`).join(",");
                nestedAliases.push(
                    `${String.fromCharCode(97 + level)}: &${String.fromCharCode(97 + level)} [${names}]`,
                );
            }
            for (
                const text of ["", "vm: {", "- 1", "%YAML 9", "a: !tag 1", DAEMON + "---\n1", nestedAliases.join("\n")]
            ) {
                expect(listProblems(text), text).not.to.be.empty;
            }
        });
    });

    describe("readToolSettings", () => {
        it("reads the settings of an operator", () => {
            expect(readToolSettings(TOOL, { file: "t.yaml" })._unsafeUnwrap().operator.name).to.equal("Ana Novak");
        });

        it("rejects control characters in the operator's name, which terminals of other operators interpret", () => {
            const error = readToolSettings(TOOL.replace("Ana Novak", "\\e[2JAna"), { file: "t.yaml" })
                ._unsafeUnwrapErr();
            expect(error.code).to.equal("ERR_MARIGOLDSTALL_SETTINGS_INVALID");
            expect(error.message).to.include("t.yaml:1: operator.name: expected a name");
            expect(error.message).not.to.include("\u001b");
        });
    });
});
