import type { FleetMessage } from "@marigoldstall/fleet.hubs";
import type { EntryEvent } from "./entry-event.js";

/** The event for a datagram of another VM. */
export const toEntryEvent = (
    message: FleetMessage,
    sender: {
        readonly host: string;
        /** Address of the sender for calls. */
        readonly peerAddress: string;
    },
): EntryEvent => {
    switch (message.type) {
        case "status":
            return { type: "status-received", message, peerAddress: sender.peerAddress };
        case "updates":
            return { type: "updates-received", message };
        case "load-query":
            return { type: "load-query-received", query: message, host: sender.host };
        case "load-answer":
            return { type: "load-answer-received", answer: message };
        case "findings":
            return { type: "findings-received", findings: message };
        case "permit-query":
            return { type: "permit-query-received", query: message, host: sender.host };
        case "permit-answer":
            return { type: "permit-answer-received", answer: message };
        case "quota-query":
            return { type: "quota-query-received", query: message, host: sender.host };
        case "quota-answer":
            return { type: "quota-answer-received", answer: message };
    }
};
