import { diffTargets, digestTargets, matchClass, parseTargets, readTargets } from "@marigoldstall/config.targets";
import type { Targets } from "@marigoldstall/core.types";
import { expect } from "chai";

const TEXT = `site: luznik
measuring: { probesPerSecond: 20 }
classes:
  - name: status-check
    service: statusdesk
    urgency: urgent
    repeatable: true
    lateness: { percentile: 99, withinMs: 250 }
    turnedAwayAtMostPercent: 0.5
    match: [{ methods: [GET], pathPrefix: /status }]
  - name: archive
    service: statusdesk
    urgency: patient
    repeatable: false
    lateness: { percentile: 95, withinMs: 5000 }
    turnedAwayAtMostPercent: 20
    match:
      - methods: [GET, POST]
        pathPrefix: /
`;

const read = (text: string): Targets => readTargets(text, { file: "t.yaml" })._unsafeUnwrap();

const listProblems = (text: string): string[] =>
    readTargets(text, { file: "t.yaml" }).match(
        () => [],
        error => error.problems.map(problem => `${problem.line} ${problem.key}: ${problem.message}`),
    );

describe("targets", () => {
    describe("readTargets", () => {
        it("accepts a patient class that is not repeatable, and a budget of 0", () => {
            expect(read(TEXT.replace("20 }", "0 }")).classes[1]?.repeatable).to.equal(false);
        });

        const cases: readonly (readonly [string, string, string, string])[] = [
            [
                "two classes of a service with the same name",
                "name: archive",
                "name: status-check",
                "11 classes[1].name:",
            ],
            [
                "a rule that duplicates an earlier one",
                "pathPrefix: /\n",
                "pathPrefix: /status\n",
                "18 classes[1].match[0].methods[0]:",
            ],
            ["a percentile of 100", "percentile: 99,", "percentile: 100,", "8 classes[0].lateness.percentile:"],
            ["a percentile of 0", "percentile: 99,", "percentile: 0,", "8 classes[0].lateness.percentile:"],
            ["a negative budget", "Second: 20", "Second: -1", "2 measuring.probesPerSecond:"],
            ["an infinite budget", "Second: 20", "Second: .inf", "2 measuring.probesPerSecond:"],
            ["a share above 100 %", "Percent: 20", "Percent: 101", "16 classes[1].turnedAwayAtMostPercent:"],
            ["an unknown urgency", "urgent\n", "urgnt\n", "6 classes[0].urgency:"],
            ["a misspelt method", "[GET]", "[GTE]", "10 classes[0].match[0].methods[0]:"],
            ["a rule without methods", "[GET]", "[]", "10 classes[0].match[0].methods:"],
            ["a prefix with a query", "/status }", "\"/status?x\" }", "10 classes[0].match[0].pathPrefix:"],
            ["a prefix with dot segments", "/status }", "/a/../b }", "10 classes[0].match[0].pathPrefix:"],
            [
                "the role of the entry VMs as a service",
                "service: statusdesk",
                "service: entry",
                "5 classes[0].service:",
            ],
            [
                "a weight, which is not a key of the targets",
                "urgency: patient",
                "urgency: patient\n    weight: 3",
                "14 classes[1].weight:",
            ],
            ["a missing key", "    repeatable: true\n", "", "4 classes[0].repeatable:"],
            ["no class at all", TEXT.slice(TEXT.indexOf("classes:")), "classes: []", "3 classes:"],
        ];
        for (const [name, from, to, expected] of cases) {
            it(`reports line and key for ${name}`, () => {
                const problems = listProblems(TEXT.replace(from, to));
                expect(problems).to.have.lengthOf(1);
                expect(problems[0]).to.match(/expected|never reached/);
                expect(problems[0]?.startsWith(expected), problems[0]).to.equal(true);
            });
        }

        it("rejects targets that exceed the body limit of a call, since no peer could fetch them", () => {
            const classes = Array.from(
                { length: 1500 },
                (unused, index) => ({ ...read(TEXT).classes[0], name: `c${index}`, match: [] }),
            );
            expect(listProblems(JSON.stringify({ ...read(TEXT), classes })).join()).to.include("bytes as JSON");
        });
    });

    describe("parseTargets", () => {
        it("validates log records by the rules of the file, so that no invalid record becomes active", () => {
            const targets = read(TEXT);
            expect(parseTargets(JSON.parse(JSON.stringify(targets)))._unsafeUnwrap()).to.deep.equal(targets);
            const duplicated = { ...targets, classes: [targets.classes[0], targets.classes[0]] };
            for (const value of [undefined, "x", {}, { ...targets, more: 1 }, duplicated]) {
                expect(parseTargets(value).isErr()).to.equal(true);
            }
        });
    });

    describe("digestTargets and diffTargets", () => {
        const targets = read(TEXT);

        it("ignore order, so that reordering a file is not a change", () => {
            const reordered = { ...targets, classes: [...targets.classes].reverse() };
            expect(digestTargets(reordered)).to.equal(digestTargets(targets));
            expect(diffTargets(targets, reordered)).to.deep.equal([]);
        });

        it("report each added, removed and changed part", () => {
            const after = read(
                TEXT.replace("name: archive", "name: records").replace("withinMs: 250", "withinMs: 300").replace(
                    "20 }",
                    "5 }",
                ),
            );
            expect(digestTargets(after)).not.to.equal(digestTargets(targets));
            const changes = diffTargets(targets, after).map(change => `${change.kind} ${change.subject} ${change.key}`);
            expect(changes).to.deep.equal([
                "changed measuring.probesPerSecond undefined",
                "removed class statusdesk/archive undefined",
                "added class statusdesk/records undefined",
                "changed class statusdesk/status-check lateness.withinMs",
            ]);
            expect(diffTargets(undefined, targets).every(change => change.kind === "added")).to.equal(true);
        });
    });

    describe("matchClass", () => {
        const targets = read(TEXT);
        const cases: readonly (readonly [string, string, string | undefined])[] = [
            ["GET", "/status", "status-check"],
            ["GET", "/status/7?x=1", "status-check"],
            ["GET", "/statuses", "archive"],
            ["POST", "/status", "archive"],
            ["DELETE", "/status", undefined],
            ["GET", "/%73tatus", "status-check"],
            ["GET", "/x/../status", "status-check"],
            ["GET", "/status/../x", "archive"],
            ["GET", "//status", "status-check"],
            ["GET", "/%E0%A4%A", "archive"],
        ];
        for (const [method, path, expected] of cases) {
            it(`finds ${expected ?? "no class"} for ${method} ${path}`, () => {
                expect(matchClass(targets, { service: "statusdesk", method, path })?.name).to.equal(expected);
            });
        }

        it("prefers the class that the request names, but only within its service", () => {
            const request = { service: "statusdesk", method: "GET", path: "/status", className: "archive" };
            expect(matchClass(targets, request)?.name).to.equal("archive");
            expect(matchClass(targets, { ...request, service: "crewcall" })).to.equal(undefined);
            expect(matchClass(targets, { ...request, className: "none" })).to.equal(undefined);
        });
    });
});
