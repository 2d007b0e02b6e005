import { createManualClock } from "@peridotvalve/clock";
import type { Route } from "@peridotvalve/dispatch";
import { expect } from "earl";
import { test } from "node:test";
import { chooseService, createStreamRoutes } from "./stream_routes.ts";

const LIFETIME = 30_000;
const IDS = Array.from({ length: 400 }, (_, at) => `request-${at}`);

function createRoute(...weights: readonly (readonly [string, number])[]) {
  const route: Route = {
    ...{ name: "advice", host: "models.test", prefix: "/advice/" },
    targets: weights.map(([service, weight]) => ({ service, weight })),
    ...{ kind: "stream", isResumable: true, isPublic: true },
    ...{ timeout: 1_000, latencyTarget: 500, eventGapTarget: 300 },
    ...{ priority: 0, maxExecutions: 3 },
  };
  return route;
}

function setUp(...states: readonly (readonly Route[])[]) {
  const clock = createManualClock();
  const routes = createStreamRoutes({ clock, lifetime: LIFETIME });
  for (const state of states) routes.adopt({ routes: state });
  return { clock, routes };
}

// Guards against streams of two services in one, and against LOST: a daemon that
// does not know a stream draws another service for it, or refuses it.
test("each daemon finds the service that was chosen for a stream", () => {
  const route = createRoute(["llm-a", 3], ["llm-b", 1]);
  const { routes } = setUp([route]);
  const chosen = IDS.map((id) => chooseService(route, id));
  expect(IDS.map((id) => routes.servicesOf(route, id)))
    .toEqual(chosen.map((service) => [service ?? ""]));
  const ofFirst = chosen.filter((service) => service === "llm-a").length;
  expect(ofFirst > 260 && ofFirst < 340).toEqual(true);
  // No row of the store is needed for them.
  expect(routes.isAmbiguous("llm-a")).toEqual(false);
});

// Guards against the same for callers that do not name the request.
test("without a request all services of the route are possible", () => {
  const route = createRoute(["llm-a", 3], ["llm-b", 1]);
  const { routes } = setUp([route]);
  expect(routes.servicesOf(route, undefined)).toEqual(["llm-a", "llm-b"]);
});

// Guards against streams of two services in one: a stream goes on at the service
// to which its route has led since its begin.
test("earlier services of a route are possible for a time", async () => {
  const former = createRoute(["llm-a", 1]);
  const route = createRoute(["llm-b", 1]);
  const { clock, routes } = setUp([former], [route]);
  expect(routes.servicesOf(route, "a")).toEqual(["llm-b", "llm-a"]);
  expect(routes.isAmbiguous("llm-b")).toEqual(true);
  // A stream at the former service is not taken up there any more.
  expect(routes.isAmbiguous("llm-a")).toEqual(false);
  await clock.advance(2 * LIFETIME);
  expect(routes.servicesOf(route, "a")).toEqual(["llm-b"]);
  expect(routes.isAmbiguous("llm-b")).toEqual(false);
});

// Guards against the same where only the shares of the services change, where a
// route is away for a time, and where it comes back to its earlier service.
test("earlier shares and absences of a route count", async () => {
  const former = createRoute(["llm-a", 9], ["llm-b", 1]);
  const route = createRoute(["llm-a", 1], ["llm-b", 9]);
  const { clock, routes } = setUp([former], [], [route]);
  const { length } = IDS.filter((id) =>
    routes.servicesOf(route, id).length === 2
  );
  expect(length > 270 && length < 370).toEqual(true);
  expect(routes.isAmbiguous("llm-a")).toEqual(true);
  await clock.advance(LIFETIME);
  routes.adopt({ routes: [former] });
  await clock.advance(LIFETIME);
  const moved = IDS.filter((id) => routes.servicesOf(former, id).length === 2);
  expect(moved.length).toEqual(length);
  await clock.advance(LIFETIME);
  expect(routes.isAmbiguous("llm-a")).toEqual(false);
});

// Guards against rows of the store that nobody needs, after changes of a route
// that leave each request at its service.
test("other changes of a route need no saved origins", () => {
  const { routes } = setUp(
    [createRoute(["llm-a", 1])],
    [{ ...createRoute(["llm-a", 5]), timeout: 2_000 }],
  );
  expect(routes.isAmbiguous("llm-a")).toEqual(false);
});

// Guards against streams of two services in one: requests below a new prefix were
// led by a shorter one before, and those of a removed prefix are led by it now.
test("earlier routes with another prefix count", () => {
  const whole = { ...createRoute(["llm-a", 1]), prefix: "/" };
  const part = createRoute(["llm-b", 1]);
  const added = setUp([whole], [whole, part]);
  expect(added.routes.servicesOf(part, "a")).toEqual(["llm-b", "llm-a"]);
  expect(added.routes.isAmbiguous("llm-b")).toEqual(true);
  const removed = setUp([whole, part], [whole]);
  expect(removed.routes.servicesOf(whole, "a")).toEqual(["llm-a", "llm-b"]);
  expect(removed.routes.isAmbiguous("llm-a")).toEqual(true);
});
