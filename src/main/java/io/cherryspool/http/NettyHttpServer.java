package io.cherryspool.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
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
 * Serves HTTP on the node's loop. Connections are bounded, so that sockets remain for the calls the
 * node makes itself, and a peer that sends nothing complete for a while is dropped.
 *
 * <p>There may be more workers than connections, and each is heard of only every few seconds. So
 * well before the bound, answers ask their peers to close: a peer that is told so comes back when
 * it has something to say, while one that is turned away would take this node for dead. At the
 * bound the connection that was unused longest makes way; by then it is most likely a dead peer's.
 */
public final class NettyHttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(NettyHttpServer.class);
  private static final int MAX_BODY = 64 * 1024;

  /** Reads of one connection at a time, as Netty's own bound is. */
  private static final int MAX_READS = 16;

  private static final Duration QUIET = Duration.ofSeconds(60);

  /** Who connects has something to say; one that has not said it by then never will. */
  private static final Duration FIRST = Duration.ofSeconds(10);

  /** Connections that wait to be accepted hold sockets as well, so that this can't be large. */
  private static final int BACKLOG = 256;

  /** From this part of the bound on, answers ask their peers to close. */
  private static final double CROWDED = 0.875;

  private static final byte[] BROKEN =
      "{\"error\":\"internal error\"}".getBytes(StandardCharsets.UTF_8);

  private final NettyEventLoop loop;
  private final RequestHandler handler;
  private final int maxConnections;
  private final int crowd;
  private final LinkedHashSet<Connection> unused = new LinkedHashSet<>();
  private int open;
  private Channel listener;

  public NettyHttpServer(NettyEventLoop loop, RequestHandler handler, int maxConnections) {
    this.loop = loop;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.crowd = (int) (maxConnections * CROWDED);
  }

  /** Binds, waiting for the outcome; called once, from outside the loop. */
  public void bind(Endpoint at) throws InterruptedException {
    listener =
        new ServerBootstrap()
            .group(loop.group())
            .channelFactory(NioServerSocketChannel::new)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, readToTheEnd())
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(new AbandonedRequestFilter())
                        .addLast(new HttpServerCodec(4096, 8192, 8192))
                        .addLast(new HttpObjectAggregator(MAX_BODY))
                        .addLast(new Connection());
                  }
                })
            .bind(new InetSocketAddress(at.host(), at.port()))
            .sync()
            .channel();
  }

  /**
   * A read goes on until nothing is left, so that a connection's end is seen with its last bytes.
   */
  private static RecvByteBufAllocator readToTheEnd() {
    return new AdaptiveRecvByteBufAllocator()
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(MAX_READS);
  }

  /** The port bound, for a listener that asked for any. */
  public int port() {
    return ((InetSocketAddress) listener.localAddress()).getPort();
  }

  public int connectionCount() {
    return open;
  }

  /** The routine of one connection. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private long lastNanos = System.nanoTime();
    private Duration patience = FIRST;
    private boolean counted;
    private boolean answering;
    private Channel channel;

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      channel = ctx.channel();
      if (open >= maxConnections && !unused.isEmpty()) {
        Connection oldest = unused.iterator().next();
        oldest.leave();
        oldest.channel.close();
      }
      if (open >= maxConnections) {
        ctx.close();
        return;
      }
      open++;
      counted = true;
      unused.add(this);
      watch(ctx);
    }

    /** Not counted any more, whether or not the socket is closed yet. */
    private void leave() {
      unused.remove(this);
      if (counted) {
        counted = false;
        open--;
      }
    }

    private void watch(ChannelHandlerContext ctx) {
      ctx.executor()
          .schedule(
              () -> {
                if (!ctx.channel().isActive()) {
                  return;
                }
                if (!answering && System.nanoTime() - lastNanos > patience.toNanos()) {
                  ctx.close();
                } else {
                  watch(ctx);
                }
              },
              FIRST.toMillis(),
              TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      leave();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest message) {
      lastNanos = System.nanoTime();
      patience = QUIET;
      if (message.decoderResult().isFailure()) {
        write(
            ctx,
            false,
            Reply.json(400, "{\"error\":\"malformed\"}".getBytes(StandardCharsets.UTF_8)));
        return;
      }
      boolean keep = HttpUtil.isKeepAlive(message);
      Request request =
          new Request(
              message.method().name(), message.uri(), ByteBufUtil.getBytes(message.content()));
      answering = true;
      unused.remove(this);
      handle(request)
          .whenComplete(
              (reply, failure) -> {
                answering = false;
                lastNanos = System.nanoTime();
                if (counted) {
                  unused.add(this);
                }
                if (failure != null) {
                  LOG.error("answering {} {} failed", request.method(), request.path(), failure);
                }
                Reply answer = failure == null ? reply : Reply.withRetryAfter(503, BROKEN, 1);
                write(ctx, keep && open <= crowd && !answer.closesConnection(), answer);
              });
    }

    private CompletableFuture<Reply> handle(Request request) {
      try {
        return handler.handle(request);
      } catch (RuntimeException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    private void write(ChannelHandlerContext ctx, boolean keep, Reply reply) {
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
      if (!keep) {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
      }
      var written = ctx.writeAndFlush(response);
      if (!keep) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      LOG.debug("connection from {} dropped: {}", ctx.channel().remoteAddress(), cause.toString());
      ctx.close();
    }
  }
}
