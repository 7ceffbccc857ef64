package io.cherryspool.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server on the node's event loop. The number of connections is limited, so that sockets
 * remain for the node's own calls, and a connection is closed if no complete request arrives on it
 * for a while.
 *
 * <p>There may be more workers than connections, and each worker sends a request only every few
 * seconds. Therefore, well before the limit, responses ask clients to close the connection. Such a
 * client reconnects for its next request, whereas a client whose connection is refused would
 * consider this node dead. At the limit, a new connection evicts the one that has been idle
 * longest, which by then most likely belongs to a dead client.
 */
public final class NettyHttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(NettyHttpServer.class);
  private static final int MAX_REQUEST_LINE_BYTES = 4096;
  private static final int MAX_HEADER_BYTES = 8192;
  private static final int MAX_CHUNK_BYTES = 8192;
  private static final int MAX_BODY_BYTES = 64 * 1024;

  /**
   * The maximum number of reads from one connection before the loop serves the next; Netty's
   * default.
   */
  private static final int MAX_READS_PER_TURN = 16;

  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

  /** Shorter than the idle timeout, since a client connects only when it has a request to send. */
  private static final Duration FIRST_REQUEST_TIMEOUT = Duration.ofSeconds(10);

  /** The maximum number of connections waiting to be accepted, which occupy sockets as well. */
  private static final int BACKLOG = 256;

  /** The fraction of the connection limit above which responses ask clients to close. */
  private static final double CLOSE_REQUEST_FRACTION = 0.875;

  private static final byte[] INTERNAL_ERROR =
      "{\"error\":\"internal error\"}".getBytes(StandardCharsets.UTF_8);

  private static final byte[] MALFORMED_REQUEST =
      "{\"error\":\"malformed\"}".getBytes(StandardCharsets.UTF_8);

  private final NettyEventLoop loop;
  private final RequestHandler handler;
  private final int maxConnections;
  private final int closeRequestThreshold;

  /** The counted connections without a request, the one that has been idle longest first. */
  private final LinkedHashSet<Connection> idle = new LinkedHashSet<>();

  private int connectionCount;
  private Channel listener;

  /**
   * Creates a server that serves at most {@code maxConnections} connections. It does not listen
   * until {@link #bind} is called.
   */
  public NettyHttpServer(NettyEventLoop loop, RequestHandler handler, int maxConnections) {
    this.loop = loop;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.closeRequestThreshold = (int) (maxConnections * CLOSE_REQUEST_FRACTION);
  }

  /**
   * Starts to listen; port 0 selects any free port. Must be called only once, and from outside the
   * loop. Blocks until the port is bound. Throws {@link java.net.BindException}, which Netty does
   * not declare, if the port is in use.
   */
  public void bind(Endpoint address) throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop.group())
            .channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readUntilEmpty())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new AbandonedRequestFilter())
                        .addLast(
                            new HttpServerCodec(
                                MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES))
                        .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                        .addLast(new Connection());
                  }
                })
            .bind(new InetSocketAddress(address.host(), address.port()))
            .sync()
            .channel();
  }

  /**
   * Returns an allocator that makes Netty read a connection until nothing is left, so that the end
   * of the connection is read together with its last bytes.
   */
  private static RecvByteBufAllocator readUntilEmpty() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS_PER_TURN);
  }

  /** Returns the port that the server listens on, which {@link #bind} may have selected. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  /**
   * Returns the number of connections that are open and not evicted. The value is exact only if
   * read on the event loop.
   */
  public int connectionCount() {
    return connectionCount;
  }

  /** The phase of a connection. */
  private enum Phase {
    /** The connection is not accepted yet, or was rejected, evicted or closed. */
    NOT_COUNTED,
    /** The connection is counted and has no request; it may be evicted. */
    IDLE,
    /** The connection is counted and its request is being handled. */
    HANDLING
  }

  /** An incoming connection. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private long lastUseNanos = System.nanoTime();
    private Duration timeout = FIRST_REQUEST_TIMEOUT;
    private Phase phase = Phase.NOT_COUNTED;
    private Channel channel;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      if (connectionCount >= maxConnections && !idle.isEmpty()) {
        Connection oldest = idle.iterator().next();
        oldest.uncount();
        oldest.channel.close();
      }
      if (connectionCount >= maxConnections) {
        ctx.close();
        return;
      }
      connectionCount++;
      phase = Phase.IDLE;
      idle.add(this);
      scheduleTimeoutCheck(ctx);
    }

    /** Removes the connection from the count, whether or not its socket is closed yet. */
    private void uncount() {
      idle.remove(this);
      if (phase != Phase.NOT_COUNTED) {
        phase = Phase.NOT_COUNTED;
        connectionCount--;
      }
    }

    private void scheduleTimeoutCheck(ChannelHandlerContext ctx) {
      ctx.executor()
          .schedule(
              () -> closeIfTimedOut(ctx), FIRST_REQUEST_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void closeIfTimedOut(ChannelHandlerContext ctx) {
      if (!ctx.channel().isActive()) {
        return;
      }
      if (phase != Phase.HANDLING && System.nanoTime() - lastUseNanos > timeout.toNanos()) {
        ctx.close();
      } else {
        scheduleTimeoutCheck(ctx);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      uncount();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
      lastUseNanos = System.nanoTime();
      timeout = IDLE_TIMEOUT;
      if (message.decoderResult().isFailure()) {
        write(ctx, false, Reply.json(400, MALFORMED_REQUEST));
        return;
      }
      boolean isPersistent = HttpUtil.isKeepAlive(message);
      Request request =
          new Request(
              message.method().name(), message.uri(), ByteBufUtil.getBytes(message.content()));
      setPhase(Phase.HANDLING);
      handle(request)
          .whenComplete((reply, failure) -> respond(ctx, isPersistent, request, reply, failure));
    }

    /** Sets the phase, unless the connection is no longer counted. */
    private void setPhase(Phase next) {
      if (phase != Phase.NOT_COUNTED) {
        phase = next;
        if (next == Phase.IDLE) {
          idle.add(this);
        } else {
          idle.remove(this);
        }
      }
    }

    private CompletableFuture<Reply> handle(Request request) {
      try {
        return handler.handle(request);
      } catch (RuntimeException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    private void respond(
        ChannelHandlerContext ctx,
        boolean isPersistent,
        Request request,
        Reply reply,
        Throwable failure) {
      lastUseNanos = System.nanoTime();
      setPhase(Phase.IDLE);
      if (failure != null) {
        LOG.error(
            "request handler failed: method={} path={}", request.method(), request.path(), failure);
      }
      Reply sent = failure == null ? reply : Reply.withRetryAfter(503, INTERNAL_ERROR, 1);
      boolean isNearLimit = connectionCount > closeRequestThreshold;
      write(ctx, isPersistent && !isNearLimit && !sent.closesConnection(), sent);
    }

    private void write(ChannelHandlerContext ctx, boolean isPersistent, Reply reply) {
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(reply.status()),
              Unpooled.wrappedBuffer(reply.body()));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, reply.body().length);
      if (reply.retryAfterSeconds() > 0) {
        response.headers().setInt(HttpHeaderNames.RETRY_AFTER, reply.retryAfterSeconds());
      }
      if (!isPersistent) {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
      }
      ChannelFuture written = ctx.writeAndFlush(response);
      if (!isPersistent) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug(
          "connection closed: peer={} cause={}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
