/** TCP relay that injects network faults: cut, delayed and silent connections. */
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/**
 * State of a relay. `cut` closes all connections and resets new ones; `silent` keeps connections open but drops all
 * data on existing and new ones; `stale` drops the data of existing connections only.
 */
export type LinkState = "open" | "cut" | "silent" | "stale";

/** Relay to one target port. */
export interface Relay {
    readonly port: number;
    readonly url: string;
    set(state: LinkState): void;
    /** Delays data in both directions. */
    delay(milliseconds: number): void;
    close(): Promise<void>;
}

interface Link {
    readonly caller: Socket;
    readonly target: Socket;
    silent: boolean;
}

/** Starts a relay from a free loopback port to the given target port. */
export async function startRelay(targetPort: number): Promise<Relay> {
    const links = new Set<Link>();
    let state: LinkState = "open";
    let delayMilliseconds = 0;

    const forward = (link: Link, source: Socket, destination: Socket): void => {
        source.on("data", data => {
            if (link.silent) {
                return;
            }
            if (delayMilliseconds === 0) {
                destination.write(data);
                return;
            }
            setTimeout(() => {
                if (!link.silent) {
                    destination.write(data);
                }
            }, delayMilliseconds);
        });
        source.on("error", () => source.destroy());
        source.on("close", () => {
            if (!link.silent) {
                links.delete(link);
                destination.destroySoon();
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
    const onEnter: Record<LinkState, () => void> = {
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
            onEnter[next]();
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
