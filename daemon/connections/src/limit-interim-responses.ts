import type { ClientRequest } from "node:http";

// Servers send few interim responses before a final one, such as 100 or 103.
const MAX_INTERIM_RESPONSES = 16;

/** Calls back once a server has sent more interim responses (1xx) to a request than any sound server sends. */
export const limitInterimResponses = (request: ClientRequest, onExceeded: () => void): void => {
    let count = 0;
    request.on("information", () => {
        count += 1;
        if (count === MAX_INTERIM_RESPONSES + 1) {
            onExceeded();
        }
    });
};
