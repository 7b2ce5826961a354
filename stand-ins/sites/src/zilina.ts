import type { SiteLayout } from "./site-layout.js";

/** Site of Mestské služby Žilina, which issues pram parking tags. */
export const zilina: SiteLayout = {
    name: "zilina",
    region: "zilina",
    availabilityZones: ["hlinky", "vlcince", "solinky", "bytcica"],
    entryVms: 14,
    services: [
        { service: "stav-znacky", backendServers: 9, serviceTime: { distribution: "exponential", meanMs: 20 } },
        { service: "vydaj-znacky", backendServers: 8, serviceTime: { distribution: "lognormal", meanMs: 40 } },
        { service: "zoznam-stanovist", backendServers: 8, serviceTime: { distribution: "lognormal", meanMs: 50 } },
        { service: "nocny-archiv", backendServers: 8, serviceTime: { distribution: "exponential", meanMs: 100 } },
    ],
    classes: [
        {
            name: "tag-check",
            method: "GET",
            path: "/stav-znacky/tags",
            ratePerSecond: 200,
            repeatable: true,
            bodyBytes: 0,
            responseBytes: 500,
        },
        {
            name: "tag-audit",
            method: "GET",
            path: "/stav-znacky/audits",
            ratePerSecond: 30,
            repeatable: true,
            bodyBytes: 0,
            responseBytes: 6000,
        },
        {
            name: "tag-issuance",
            method: "POST",
            path: "/vydaj-znacky/issuances",
            ratePerSecond: 60,
            repeatable: false,
            bodyBytes: 500,
            responseBytes: 500,
        },
        {
            name: "bay-list",
            method: "GET",
            path: "/zoznam-stanovist/bays",
            ratePerSecond: 70,
            repeatable: true,
            bodyBytes: 0,
            responseBytes: 20_000,
        },
        {
            name: "night-archive",
            method: "GET",
            path: "/nocny-archiv/nights",
            ratePerSecond: 30,
            repeatable: true,
            bodyBytes: 0,
            responseBytes: 4000,
        },
    ],
};
