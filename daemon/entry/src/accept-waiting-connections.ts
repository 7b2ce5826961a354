// The first round may have passed the sockets already. The kernel keeps 511 waiting connections.
const QUIET_ROUNDS = 2;
const MAX_ROUNDS = 600;

/**
 * Waits until a listening server has accepted the connections that the kernel keeps for it. Node.js accepts one in each
 * round of its event loop, and runs due timers before.
 */
export const acceptWaitingConnections = async (countAccepted: () => number): Promise<void> => {
    let quietRounds = 0;
    for (let round = 0; round < MAX_ROUNDS && quietRounds < QUIET_ROUNDS; round += 1) {
        const acceptedBefore = countAccepted();
        await new Promise(resolve => {
            setImmediate(resolve);
        });
        quietRounds = countAccepted() === acceptedBefore ? quietRounds + 1 : 0;
    }
};
