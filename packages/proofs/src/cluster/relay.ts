/** TCP relay in front of one party, to cut, delay or silence its links. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/**
 * State of a link. `cut` closes all connections and refuses new ones; `silent` keeps connections open and delivers
 * nothing, neither on the present ones nor on new ones; `stale` does so only on the present ones.
 */
export type LinkState = "open" | "cut" | "silent" | "stale";

/** Relay to one address. */
export interface Relay {
    readonly port: number;
    readonly url: string;
    set(state: LinkState): void;
    /** Delays what comes from either side. */
    delay(milliseconds: number): void;
    close(): Promise<void>;
}

interface Link {
    readonly caller: Socket;
    readonly target: Socket;
    silent: boolean;
}

/** Starts a relay on a free port of the loopback interface to the port of the target. */
export async function startRelay(targetPort: number): Promise<Relay> {
    const links = new Set<Link>();
    let state: LinkState = "open";
    let delayMilliseconds = 0;

    const forward = (link: Link, from: Socket, to: Socket): void => {
        from.on("data", data => {
            if (link.silent) {
                return;
            }
            if (delayMilliseconds === 0) {
                to.write(data);
                return;
            }
            setTimeout(() => {
                if (!link.silent) {
                    to.write(data);
                }
            }, delayMilliseconds);
        });
        from.on("error", () => from.destroy());
        from.on("close", () => {
            if (!link.silent) {
                links.delete(link);
                to.destroySoon();
            }
        });
    };
    const server = createServer(caller => {
        if (state === "cut") {
            caller.resetAndDestroy();
            return;
        }
        const link: Link = { caller, target: connect(targetPort, "127.0.0.1"), silent: state === "silent" };
        caller.setNoDelay(true);
        link.target.setNoDelay(true);
        links.add(link);
        forward(link, caller, link.target);
        forward(link, link.target, caller);
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    const destroyAll = (): void => {
        links.forEach(({ caller, target }) => {
            caller.destroy();
            target.destroy();
        });
        links.clear();
    };
    const enter: Record<LinkState, () => void> = {
        open: () => undefined,
        cut: destroyAll,
        silent: () => links.forEach(link => Object.assign(link, { silent: true })),
        stale: () => links.forEach(link => Object.assign(link, { silent: true })),
    };
    return {
        port,
        url: `http://127.0.0.1:${port}`,
        set: next => {
            state = next;
            enter[next]();
        },
        delay: milliseconds => {
            delayMilliseconds = milliseconds;
        },
        close: () => {
            destroyAll();
            return new Promise(resolve => server.close(() => resolve()));
        },
    };
}
