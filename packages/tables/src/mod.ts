/**
 * Client of the platform: transactional tables, immutable objects and the list
 * of VMs, which may lag behind.
 */
export * from "./endpoint.ts";
export * from "./http_platform.ts";
export * from "./json_text.ts";
export * from "./memory_platform.ts";
export * from "./platform.ts";
export * from "./store_era.ts";
export * from "./table_store.ts";
export {
  createHttpClient,
  type Exchange,
  type HttpClient,
  type HttpRequest,
} from "./http_client.ts";
export * from "./feed.ts";
