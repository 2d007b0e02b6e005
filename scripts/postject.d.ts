/**
 * Types of the part of postject that the build uses; the package has none.
 */
declare module "postject" {
  export function inject(
    file: string,
    resource: string,
    content: Uint8Array,
    options: { readonly sentinelFuse: string },
  ): Promise<void>;
}
